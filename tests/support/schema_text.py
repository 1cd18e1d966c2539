"""Converts .proto files and generated descriptors to comparable statements."""

import re
from pathlib import Path

SCHEMA = Path(__file__).parents[2] / "schema" / "cicadatiller" / "v1"
COMMENT = re.compile(r"//[^\n]*")
TOKEN = re.compile(r"[{};]")


def statements_of_text(name: str) -> list[str]:
    """Return the statements of a .proto file, each with its enclosing blocks, sorted."""
    text = COMMENT.sub("", (SCHEMA / name).read_text(encoding="utf-8"))
    found: list[str] = []
    blocks: list[str] = []
    start = 0
    for match in TOKEN.finditer(text):
        statement = " ".join(text[start : match.start()].split())
        start = match.end()
        if match.group() == "{":
            blocks.append(statement)
            found.append("/".join(blocks))
        elif match.group() == "}":
            blocks.pop()
        elif not statement.startswith(("syntax", "package")):
            found.append("/".join([*blocks, statement]))
    return sorted(found)


def statements_of_descriptor(file) -> list[str]:
    """Return the statements equivalent to a file descriptor, sorted."""
    found: list[str] = []
    prefix = f".{file.package}."
    for enum in file.enum_type:
        found.append(f"enum {enum.name}")
        found.extend(f"enum {enum.name}/{value.name} = {value.number}" for value in enum.value)
    for message in file.message_type:
        found.extend(_message_statements(message, prefix))
    for service in file.service:
        found.append(f"service {service.name}")
        found.extend(f"service {service.name}/{_rpc(rpc, prefix)}" for rpc in service.method)
    return sorted(found)


def _message_statements(message, prefix):
    head = f"message {message.name}"
    yield head
    real_oneofs = {
        field.oneof_index
        for field in message.field
        if field.has_field("oneof_index") and not field.proto3_optional
    }
    for index in real_oneofs:
        yield f"{head}/oneof {message.oneof_decl[index].name}"
    for field in message.field:
        block = head
        if field.has_field("oneof_index") and not field.proto3_optional:
            block = f"{head}/oneof {message.oneof_decl[field.oneof_index].name}"
        yield f"{block}/{_label(field)}{_type(field, prefix)} {field.name} = {field.number}"


def _label(field) -> str:
    if field.label.name == "REPEATED":
        return "repeated "
    return "optional " if field.proto3_optional else ""


def _type(field, prefix) -> str:
    if field.type.name in ("MESSAGE", "ENUM"):
        return field.type_name.removeprefix(prefix)
    return field.type.name.lower()


def _rpc(rpc, prefix) -> str:
    stream = "stream " if rpc.server_streaming else ""
    request, response = (t.removeprefix(prefix) for t in (rpc.input_type, rpc.output_type))
    return f"rpc {rpc.name}({request}) returns ({stream}{response})"
