"""Digests by which two instances compare what they know of a server."""

import zlib

import cbor2


def residency_fields(residency):
    """Return the fields of a residency that all instances use, as a list."""
    return [
        residency.process_start_ms,
        {
            name: [model.version, sorted(model.adapters)]
            for name, model in sorted(residency.models.items())
        },
    ]


def residency_digest(residency):
    """Return the digest of a Residency.

    It does not cover what only the leader knows of the server.
    """
    return zlib.crc32(cbor2.dumps(residency_fields(residency)))


def server_digest(server):
    """Return the digest of a listed BackendServer without its models.

    The models change with each order and reach the instances as residencies.
    """
    return zlib.crc32(
        cbor2.dumps(
            [
                server.service,
                str(server.address),
                server.zone,
                server.slots,
                server.leaving,
                server.time_left_s,
                server.software_version,
                server.residency.process_start_ms,
            ]
        )
    )
