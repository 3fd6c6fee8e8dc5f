"""
OpenAPI description of jobs
===========================

Write the paths of jobs and standing tasks into docs/openapi.json, with schemas generated from the
types that the code decodes and encodes.  Run as ``python -m tools.openapi``.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import msgspec

from toucanpin.placement.jobs import JobStatus, StandingStatus
from toucanpin.placement.submission import Submission
from toucanpin.verdict import Reason

__all__ = ["DOCUMENT_PATH", "describe_jobs", "main"]

DOCUMENT_PATH = Path("docs/openapi.json")
SCHEMAS = "#/components/schemas/"
REFUSALS = {
    "400": "Malformed, without an Idempotency-Key or out of limits. bad-request.",
    "403": "The bundle in force has no such team. forbidden.",
    "404": "No such job or standing task. not-found.",
    "409": "The key was used for another job, or another change came first. conflict.",
    "413": "The payload is too large. too-large.",
    "422": "No host can ever hold it; the detail says why. never-fits.",
    "503": "not-ready or store-unavailable (not run), or store-uncertain (may have run: repeat it "
    "with the same Idempotency-Key).",
}


def describe_jobs(document: dict[str, Any]) -> dict[str, Any]:
    """Return an OpenAPI document with the paths and schemas of jobs and standing tasks."""
    types = (Submission, JobStatus, StandingStatus)
    _, schemas = msgspec.json.schema_components(types, ref_template=SCHEMAS + "{name}")
    components = document["components"]
    known_schemas = components["schemas"] | schemas
    reason = known_schemas["Refusal"]["properties"]["reason"] | {
        "enum": [it.value for it in Reason]
    }
    properties = known_schemas["Refusal"]["properties"] | {"reason": reason}
    known_schemas["Refusal"] = known_schemas["Refusal"] | {"properties": properties}
    return document | {
        "paths": document["paths"] | _describe_paths(),
        "components": components | {"schemas": known_schemas},
    }


def _describe_paths() -> dict[str, Any]:
    """Return the paths of jobs and standing tasks."""
    job = [{"name": "job", "in": "path", "required": True, "schema": {"type": "string"}}]
    name = [{"name": "name", "in": "path", "required": True, "schema": {"type": "string"}}]
    ended = _response("JobStatus", "The job's end that stands: another came before the cancel.")
    return {
        "/v1/jobs": {
            "post": _operation(
                "submitJob",
                "Submit a job; the same Idempotency-Key again gives the same job",
                {"202": _response("JobStatus", "Accepted, durably.")},
                ("400", "403", "409", "413", "422", "503"),
                [_header("Idempotency-Key")],
                _body("Submission"),
            ),
            "get": _operation(
                "listJobs",
                "List jobs",
                {"200": _response("JobStatus", "The chosen jobs.", many=True)},
                ("400", "503"),
                [_query(name) for name in ("team", "kind", "state", "limit")],
            ),
        },
        "/v1/jobs/{job}": {
            "parameters": job,
            "get": _operation(
                "readJob", "Show a job", {"200": _response("JobStatus", "The job.")}, ("404", "503")
            ),
            "delete": _operation(
                "cancelJob",
                "Cancel a job; a cancel that races a finish has one outcome, told to both",
                {"200": _response("JobStatus", "Cancelled."), "409": ended},
                ("404", "503"),
            ),
        },
        "/v1/jobs/{job}/result": {
            "parameters": job,
            "get": _operation(
                "readResult",
                "Read a job's result",
                {
                    "200": {
                        "description": "The result's bytes.",
                        "content": {"application/octet-stream": {}},
                    },
                    "202": _response("JobStatus", "Not ended yet."),
                    "410": _response("JobStatus", "Ended without a result."),
                },
                ("404", "503"),
            ),
        },
        "/v1/standing": {
            "get": _operation(
                "listStanding",
                "List standing tasks",
                {"200": _response("StandingStatus", "Each wanted task.", many=True)},
                ("503",),
            )
        },
        "/v1/standing/{name}": {
            "parameters": name,
            "get": _operation(
                "readStanding",
                "Show a standing task",
                {"200": _response("StandingStatus", "The task.")},
                ("404", "503"),
            ),
        },
    }


def _operation(
    identifier: str,
    summary: str,
    answers: dict[str, Any],
    refusals: tuple[str, ...],
    parameters: list[dict[str, Any]] | None = None,
    body: dict[str, Any] | None = None,
) -> dict[str, Any]:
    """Return the description of an operation."""
    refused = {code: _refusal(REFUSALS[code]) for code in refusals if code not in answers}
    found: dict[str, Any] = {"operationId": identifier, "summary": summary}
    if parameters:
        found["parameters"] = parameters
    if body:
        found["requestBody"] = body
    return found | {"responses": answers | refused}


def _response(schema: str, description: str, many: bool = False) -> dict[str, Any]:
    """Return the description of an answer in JSON."""
    shape: dict[str, Any] = {"$ref": SCHEMAS + schema}
    if many:
        shape = {"type": "array", "items": shape}
    return {"description": description, "content": {"application/json": {"schema": shape}}}


def _refusal(description: str) -> dict[str, Any]:
    """Return the description of a refusal and its headers."""
    names = ("Toucanpin-Verdict", "Toucanpin-Reason", "Retry-After")
    headers = {name: {"$ref": f"#/components/headers/{name}"} for name in names}
    return _response("Refusal", description) | {"headers": headers}


def _body(schema: str) -> dict[str, Any]:
    """Return the description of a request body in JSON."""
    content = {"application/json": {"schema": {"$ref": SCHEMAS + schema}}}
    return {"required": True, "content": content}


def _header(name: str) -> dict[str, Any]:
    """Return the description of a required header."""
    return {"name": name, "in": "header", "required": True, "schema": {"type": "string"}}


def _query(name: str) -> dict[str, Any]:
    """Return the description of an optional query parameter."""
    return {"name": name, "in": "query", "schema": {"type": "string"}}


def main() -> int:
    """Rewrite the document."""
    document = msgspec.json.decode(DOCUMENT_PATH.read_bytes())
    text = msgspec.json.format(msgspec.json.encode(describe_jobs(document)), indent=2)
    DOCUMENT_PATH.write_bytes(text + b"\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
