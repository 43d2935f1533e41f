"""Builders of the configuration documents that an operator publishes."""


def route(name, prefix, kind, service, **fields):
    document = {"name": name, "hostname": "h.example", "path_prefix": prefix,
                "kind": kind, "service": service, "timeout_ms": 3000, "slo_ms": 500,
                "priority": 0, "max_attempts": 2, "public": False, "sticky": False,
                "resumable": False}
    document.update(fields)
    return document


def routes():
    return [
        route("safe", "/safe/", "safe", "plain"),
        route("once", "/once/", "unsafe", "plain"),
        route("open", "/open/", "safe", "plain", public=True),
        route("stream", "/stream/", "streaming", "model", resumable=True,
              itl_target_ms=300),
        route("stream1", "/stream1/", "streaming", "model"),
    ]


def services(max_conns=10, slots=4):
    return [
        {"name": "plain", "max_conns": max_conns},
        {"name": "model", "max_conns": max_conns,
         "engine": {"slots": slots, "kv_capacity": 100000}},
    ]


def tenant(name, *keys, **limit):
    """A tenant whose quota is counted in tokens; without a limit by default."""
    document = {"name": name, "api_keys": list(keys), "unit": "tokens",
                "uncached_tokens": 10, "rate_per_s": 0, "burst": 0}
    document.update(limit)
    return document


def configuration(version=1, **fields):
    document = {
        "version": version,
        "route_list": routes(),
        "services": services(),
        "limits": {"max_header_bytes": 8192, "max_body_bytes": 100000,
                   "header_timeout_ms": 1000, "idle_timeout_ms": 5000},
        "tenants": [tenant("tenant1", "key1")],
    }
    document.update(fields)
    return document
