"""
Frames of the inner protocol
============================

Encode an envelope and a message as an authenticated frame, and decode it.

A frame consists of ``TP``, the major version, the purpose, the length of the key id, the key id,
the MAC and the payload.  The MAC covers all other parts, so a frame is valid only for the purpose
and the sender that it states.
"""

from __future__ import annotations

import enum
import struct
import typing
from dataclasses import dataclass
from pathlib import Path
from typing import Any, get_type_hints

import thriftpy2
from thriftpy2.protocol.cybin import TCyBinaryProtocol  # type: ignore[attr-defined]
from thriftpy2.transport.memory import TCyMemoryBuffer

from toucanpin.exception import WireError
from toucanpin.wire import messages
from toucanpin.wire.keys import MAC_BYTES, PeerKeys
from toucanpin.wire.messages import Envelope, Message, Received
from toucanpin.wire.structure import check_struct

__all__ = [
    "MAJOR_VERSION",
    "MAX_DATAGRAM_BYTES",
    "MAX_FRAME_BYTES",
    "MINOR_VERSION",
    "MajorVersionError",
    "Purpose",
    "decode",
    "encode",
    "seal",
]

MAJOR_VERSION = 1
MINOR_VERSION = 0
MAX_FRAME_BYTES = 1_048_576
MAX_DATAGRAM_BYTES = 1_400

_MAGIC = b"TP"
_PREFIX = struct.Struct(">2sBBB")
_THRIFT: Any = thriftpy2.load(
    str(Path(__file__).with_name("inner.thrift")), module_name="toucanpin_inner_thrift"
)


class Purpose(enum.IntEnum):
    """Purpose of a frame, so that a captured frame can't be replayed on another channel."""

    HEARTBEAT = 1
    REQUEST = 2
    ANSWER = 3


class MajorVersionError(WireError):
    """Raised if an authentic message has a major version that this process doesn't support."""


def _map_message_types() -> dict[str, type]:
    return {
        spec[1]: getattr(messages, spec[2].__name__) for spec in _THRIFT.Body.thrift_spec.values()
    }


_MESSAGE_TYPES = _map_message_types()
_FIELD_NAMES = {kind: name for name, kind in _MESSAGE_TYPES.items()}


@dataclass(frozen=True, slots=True)
class _Field:
    """A field of a message; ``elements`` is the element type of a list, otherwise None."""

    name: str
    kind: type
    elements: type | None


def _list_fields(kind: type) -> tuple[_Field, ...]:
    return tuple(_describe_field(name, hint) for name, hint in get_type_hints(kind).items())


def _describe_field(name: str, hint: Any) -> _Field:
    if typing.get_origin(hint) is tuple:
        return _Field(name, list, typing.get_args(hint)[0])
    return _Field(name, hint, None)


_FIELDS = {
    kind: _list_fields(kind) for kind in (*_MESSAGE_TYPES.values(), Envelope, messages.MemberRecord)
}
_OPTIONAL = {"audience": "", "nonce": 0, "target": "store"}


def encode(keys: PeerKeys, purpose: Purpose, envelope: Envelope, message: Message) -> bytes:
    """Return the frame of a message, signed with the current key."""
    body = _THRIFT.Body(**{_FIELD_NAMES[type(message)]: _to_thrift(message)})
    buffer = TCyMemoryBuffer()
    protocol = TCyBinaryProtocol(buffer)
    protocol.write_struct(_to_thrift(envelope))
    protocol.write_struct(body)
    return seal(keys, purpose, buffer.getvalue())


def seal(keys: PeerKeys, purpose: Purpose, payload: bytes, major: int = MAJOR_VERSION) -> bytes:
    """Return the frame of an encoded payload, signed with the current key."""
    key_id = keys.current.encode()
    header = _PREFIX.pack(_MAGIC, major, purpose, len(key_id)) + key_id
    mac = keys.sign(keys.current, header + payload)
    if mac is None:
        raise WireError(f"no key {keys.current!r}")
    return header + mac + payload


def decode(keys: PeerKeys, purpose: Purpose, deployment: str, frame: bytes) -> Received:
    """
    Return the message of a frame.

    Raises
    ------
    MajorVersionError
        If the frame is authentic but has another major version.
    WireError
        If the frame is invalid or not authentic.
    """
    major, payload = _open(keys, purpose, frame)
    end = check_struct(payload)
    buffer = TCyMemoryBuffer(payload)
    protocol = TCyBinaryProtocol(buffer, strict_decode=True)
    try:
        envelope = _from_thrift(Envelope, protocol.read_struct(_THRIFT.Envelope()))
        if major != MAJOR_VERSION:
            raise MajorVersionError(
                f"{envelope.sender} speaks major version {major}, this process {MAJOR_VERSION}"
            )
        if check_struct(payload, end) != len(payload):
            raise WireError("bytes follow the message")
        body = protocol.read_struct(_THRIFT.Body())
    except (UnicodeDecodeError, RecursionError, ValueError, OverflowError) as error:
        raise WireError(f"payload can't be decoded: {type(error).__name__}") from error
    if envelope.deployment != deployment:
        raise WireError(f"{envelope.sender} belongs to deployment {envelope.deployment!r}")
    return Received(envelope, _get_message(body))


def _open(keys: PeerKeys, purpose: Purpose, frame: bytes) -> tuple[int, bytes]:
    if len(frame) < _PREFIX.size:
        raise WireError("frame is shorter than its header")
    magic, major, actual, id_size = _PREFIX.unpack_from(frame)
    header_size = _PREFIX.size + id_size
    if magic != _MAGIC or len(frame) < header_size + MAC_BYTES:
        raise WireError("not a frame of the inner protocol")
    key_id = frame[_PREFIX.size : header_size].decode("ascii", "replace")
    mac = frame[header_size : header_size + MAC_BYTES]
    payload = frame[header_size + MAC_BYTES :]
    # The payload isn't decoded before the MAC is verified, so a sender without a key can't reach
    # the decoder.
    if not keys.verify(key_id, frame[:header_size] + payload, mac):
        raise WireError("frame is not authentic")
    if actual != purpose:
        raise WireError(f"frame has purpose {actual}, expected {int(purpose)}")
    return major, payload


def _to_thrift(value: Any) -> Any:
    kind = type(value)
    target = getattr(_THRIFT, kind.__name__)()
    for field in _FIELDS[kind]:
        item: Any = getattr(value, field.name)
        if field.elements is not None:
            item = [_to_thrift(each) for each in item]
        elif item == _OPTIONAL.get(field.name):
            continue
        setattr(target, field.name, item)
    return target


def _from_thrift(kind: type, value: Any) -> Any:
    items: list[Any] = []
    for field in _FIELDS[kind]:
        item: Any = getattr(value, field.name)
        if item is None:
            item = _OPTIONAL.get(field.name)
        if not isinstance(item, field.kind):
            raise WireError(f"{kind.__name__} lacks {field.name}")
        if field.elements is not None and isinstance(item, list):
            item = tuple(_from_thrift(field.elements, each) for each in item)
        items.append(item)
    return kind(*items)


def _get_message(body: Any) -> Message:
    present = [name for name in _MESSAGE_TYPES if getattr(body, name) is not None]
    if len(present) != 1:
        raise WireError("message is of a kind that this process doesn't know")
    name = present[0]
    message: Message = _from_thrift(_MESSAGE_TYPES[name], getattr(body, name))
    return message
