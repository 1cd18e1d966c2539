"""Sets how the C library's allocator treats large blocks."""

import ctypes

# The number of the parameter in glibc's malloc.h.
M_MMAP_THRESHOLD = -3
LARGE_BLOCK_BYTES = 256 * 1024


def map_large_blocks() -> None:
    """Let each large block have its own mapping, which is returned to the system when it is freed.

    By default glibc raises its threshold with the first large block that is freed. Bodies of some
    megabytes then fragment the heap, and it holds twice their size and more. Other C libraries are
    left as they are.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
