"""Tests of the whole request path over real processes."""

import pytest

from caroblug.entry._tokenizer import make_tokenizer
from standins import demo, reference
from standins.site import MODEL, make_site


@pytest.fixture(scope="module")
def site():
    with make_site() as running:
        demo.start(running)
        yield running


def _body(**changes):
    return {
        "model": MODEL,
        "messages": [{"role": "user", "content": "two planets rise"}],
        "max_tokens": 12,
        "seed": 3,
        **changes,
    }


def _expected(site):
    model = site.bundle["models"][MODEL]
    tokenizer = make_tokenizer(model["vocabulary"])
    prompt = tokenizer.encode("user: two planets rise")
    tokens = reference.expected_tokens(
        prompt, 12, model["layers"], model["vocabulary"], 3
    )
    return tokenizer.decode(tokens)


def _complete(site, body, entry="entry-a"):
    return site.call(entry, "school-1", "POST", "/v1/chat/completions", body)


def test_streamed_and_whole_answers_are_right(site):
    parts = [
        chunk["choices"][0]["delta"].get("content", "")
        for chunk in site.stream("entry-b", "school-1", _body())
    ]
    assert "".join(parts) == _expected(site)
    response = _complete(site, _body()).json()
    assert response["choices"][0]["message"]["content"] == _expected(site)
    assert response["usage"]["completion_tokens"] == 12


def test_no_engine_ran_a_position_twice(site):
    _complete(site, _body())
    engines = [p for p in site.processes.values() if p.role == "engine"]
    assert sum(site.read_counters(e.name)["repeated"] for e in engines) == 0


@pytest.mark.parametrize(
    ("body", "status", "kind"),
    [
        (_body(model="no-such"), 404, "unknown_model"),
        (_body(colour="red"), 400, "bad_request"),
        (_body(max_tokens=0), 400, "bad_request"),
        (b"{not json", 400, "bad_request"),
        (b"x" * 2_000_000, 413, "body_too_large"),
    ],
)
def test_bad_requests_are_refused(site, body, status, kind):
    response = _complete(site, body)
    assert response.status == status
    error = response.json()["error"]
    assert error["type"] == kind
    assert error["ran"] == "no"


def test_unknown_key_is_refused(site):
    port = site.processes["entry-a"].http_port
    response = site.http(
        port,
        "POST",
        "/v1/chat/completions",
        _body(),
        {"Authorization": "Bearer school-1:wrong"},
    )
    assert response.status == 401
    assert response.json()["error"]["ran"] == "no"


def test_new_bundle_is_taken_up_without_a_restart(site):
    site.bundle["models"]["second"] = {"layers": 24, "vocabulary": 8}
    site.publish()

    def _listed():
        response = site.call("entry-a", "school-1", "GET", "/v1/models")
        return "second" in [m["id"] for m in response.json()["data"]]

    site.wait_for(_listed, "the new bundle")


def test_stage_that_crashes_is_replaced(site):
    """Guards against a stream that ends when one of its stages crashes.

    A side process is killed in the middle of a stream. The entry opens a new
    attempt with another instance for that stage, and the text is complete.
    """
    tokens = 200
    body = _body(max_tokens=tokens)
    parts = []
    for chunk in site.stream("entry-a", "school-1", body):
        parts.append(chunk["choices"][0]["delta"].get("content", ""))
        if len(parts) == 20:
            site.processes["side-a-1"].kill()
    model = site.bundle["models"][MODEL]
    tokenizer = make_tokenizer(model["vocabulary"])
    expected = reference.expected_tokens(
        tokenizer.encode("user: two planets rise"),
        tokens,
        model["layers"],
        model["vocabulary"],
        3,
    )
    assert "".join(parts) == tokenizer.decode(expected)
    assert site.metric("entry-a", "caroblug_streams_recovered_total") >= 1
