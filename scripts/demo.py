"""Runs both example deployments, one after the other, against local fake servers."""

import json
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "tests" / "failure"))

from cluster import (Cluster, PLUMECRAFT_DOMAINS, STEIGERVERGUNNING_DOMAINS,  # noqa: E402
                     http_json)

DEPLOYMENTS = [
    {"name": "Steigervergunning Samen", "file": "steigervergunning.toml",
     "domains": STEIGERVERGUNNING_DOMAINS, "engines": 20, "plain_pool": "desks",
     "key": "key-clerks", "long_model": "notice-draft",
     "short_model": "neighbour-letter", "once": "/filings/2026-17",
     "lookup": "/lookups/dossier-9", "prompt": "Draft the licence notice for dossier 9."},
    {"name": "Plumecraft Analytics", "file": "plumecraft.toml",
     "domains": PLUMECRAFT_DOMAINS, "engines": 10, "plain_pool": "gates", "key": "key-sorters",
     "long_model": "lot-certificate", "short_model": "grade-call", "once": "/gates/bin-4/release",
     "lookup": "/stock/bin-4", "prompt": "Certify lot 77 of quill, bin 4."},
]


def describe_target(cluster, index, before):
    """Names the server that received the latest request sent through entry `index`.

    Only history events from position `before` on are considered.
    """
    events = [event for event in cluster.history()[before:]
              if event["what"] in ("dispatch", "execute")]
    server = events[-1]["server"] if events else "no server (the outcome was replayed)"
    return f"entry-{index} -> {server}"


def call(cluster, title, index, method, path, body, headers):
    before = len(cluster.history())
    status, answer_headers, answer = http_json(
        method, cluster.entry_address(index), path, body, headers, timeout=30)
    if status != 200:
        raise SystemExit(f"{title}: unexpected HTTP status {status}: {answer}")
    if isinstance(answer, str):
        chunks = [json.loads(line[6:]) for line in answer.splitlines()
                  if line.startswith("data: {")]
        text = "".join(chunk["choices"][0]["text"] for chunk in chunks if chunk["choices"])
        usage = next(chunk["usage"] for chunk in chunks if "usage" in chunk)
        done = "data: [DONE]" in answer
        shown = f"{text!r} usage={usage} done={done}"
    elif "choices" in answer:
        shown = repr(answer["choices"][0]["message"]["content"])
    else:
        shown = json.dumps(answer)
    if answer_headers.get("Idempotent-Replayed"):
        shown += "  (replayed outcome, not executed again)"
    print(f"  {title}\n    {describe_target(cluster, index, before)}\n    {shown}")


def run(deployment, base_port):
    print(f"\n== {deployment['name']} ==")
    with Cluster(base_port=base_port, domains=deployment["domains"], engines=deployment["engines"],
                 plains=4, plain_pool=deployment["plain_pool"]) as cluster:
        cluster.start_and_configure(ROOT / "examples" / deployment["file"])
        bearer = {"Authorization": f"Bearer {deployment['key']}"}
        call(cluster, "streamed draft", 0, "POST", "/v1/completions",
             {"model": deployment["long_model"], "prompt": deployment["prompt"],
              "max_tokens": 8, "stream": True}, bearer)
        call(cluster, "letter in one response", 1, "POST", "/v1/chat/completions",
             {"model": deployment["short_model"], "max_tokens": 6,
              "messages": [{"role": "user", "content": deployment["prompt"]}]}, bearer)
        once = {**bearer, "Idempotency-Key": "demo-1"}
        call(cluster, "non-idempotent call with an idempotency key", 2, "POST", deployment["once"],
             {"lot": 77}, once)
        call(cluster, "the same call repeated at another instance", 3, "POST",
             deployment["once"], {"lot": 77}, once)
        call(cluster, "idempotent lookup", 4, "GET", deployment["lookup"], None, bearer)
        status, headers, _ = http_json("GET", cluster.entry_address(0), deployment["lookup"], None,
                                       {"Authorization": "Bearer nobody"})
        print(f"  unknown key\n    status {status}, code {headers['X-Result-Code']}, "
              f"{headers['X-Execution']}")
        print()
        print(cluster.run_command(0, "status").stdout)


def main():
    for number, deployment in enumerate(DEPLOYMENTS):
        run(deployment, 12000 + number * 2500)
    print("demo: ok; all processes have been stopped")


if __name__ == "__main__":
    main()
