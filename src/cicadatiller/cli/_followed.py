"""Which settings and configuration each entry on the platform follows, from its metrics."""

from typing import Any

import urllib3
from prometheus_client.parser import text_string_to_metric_families

from ._client import CommandError, ExitCode

TIMEOUT_S = 2.0
SETTINGS = "cicadatiller_followed_settings_info"
CONFIGURATION = "cicadatiller_followed_config_info"


def followed_rows(urls: list[str]) -> list[dict[str, Any]]:
    """Return one row for each entry, the row of an entry that does not answer included.

    Args:
        urls: The addresses of the metrics, "http://HOST:PORT/PATH".

    Raises:
        CommandError: If no entry answers.
    """
    http = urllib3.PoolManager(timeout=TIMEOUT_S, retries=False)
    rows = [_row(http, url) for url in urls]
    if all(row["problem"] for row in rows):
        raise CommandError(f"no entry answers: {rows[0]['problem']}", ExitCode.UNREACHABLE)
    return rows


def _row(http: urllib3.PoolManager, url: str) -> dict[str, Any]:
    labels: dict[str, dict[str, str]] = {}
    problem = ""
    try:
        response = http.request("GET", url)
        if response.status == 200:
            labels = _info_labels(response.data.decode())
        else:
            problem = f"status {response.status}"
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        problem = str(error)
    settings = labels.get(SETTINGS, {})
    configuration = labels.get(CONFIGURATION, {})
    return {
        "entry": settings.get("entry", url),
        "settings_revision": settings.get("revision", ""),
        "settings_digest": settings.get("digest", ""),
        "config_version": configuration.get("version", ""),
        "config_digest": configuration.get("digest", ""),
        "problem": problem,
    }


def _info_labels(text: str) -> dict[str, dict[str, str]]:
    return {
        sample.name: dict(sample.labels)
        for family in text_string_to_metric_families(text)
        for sample in family.samples
        if sample.name in (SETTINGS, CONFIGURATION)
    }
