#include <rapidcheck.h>

#include "platform/documents.h"
#include "platform/headers.h"
#include "platform/row_response.h"
#include "unit_test.h"

using namespace cowslipknot;
using namespace cowslipknot::gateway;

namespace {

http::request_header<> MakeHeader() {
  http::request_header<> header;
  header.set("Cowslipknot-Request-Id", "r1");
  header.set("Cowslipknot-Token-Count", "1460,80");
  header.set("Cowslipknot-Prefix-Hash", "5c1e07a2:800,91bd3f06:410");
  header.set("Cowslipknot-Deadline-Ms", "15000");
  header.set(http::field::authorization, "Token key1");
  return header;
}

const char kConfiguration[] = R"({"version":7,
 "route_list":[
  {"name":"r1","hostname":"h","path_prefix":"/a/","kind":"streaming",
   "timeout_ms":15000,"slo_ms":1000,"priority":1,"max_attempts":2,
   "backends":[{"service":"m","weight":90},{"service":"p","weight":10}],
   "resumable":true,"itl_target_ms":300},
  {"name":"r2","hostname":"h","path_prefix":"/b/","kind":"safe",
   "service":"p","public":true}],
 "services":[
  {"name":"m","max_conns":230,"engine":{"slots":32,"kv_capacity":1000},
   "scale":{"min":1,"max":10,"boot_s":4.0,"spot_price":0.22,
            "zone_prices":{"z":1.5}}},
  {"name":"p","max_conns":100}],
 "limits":{"max_header_bytes":100,"max_body_bytes":200,
           "header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"t","api_keys":["k1","k2"],"unit":"tokens",
             "uncached_tokens":200,"rate_per_s":1000,"burst":500}]})";

const char kServer[] =
    R"({"service":"m","address":"10.0.0.1:80","zone":"z","version":"v1",)"
    R"("slots":4,"state":"ready","warmup_left_ms":0,"seq":1,"born":17})";

std::string Replaced(std::string text, const std::string& from,
                     const std::string& to) {
  const std::size_t found = text.find(from);
  cr_assert_neq(found, std::string::npos);
  return text.replace(found, from.size(), to);
}

const std::vector<std::string> kNumbersOutOfRange = {
    "1e308", "-1e308", "1e999", "-5",  "18446744073709551616",
    "[1]",   "null",   "\"1\"", "true"};

HttpResponse MakeRowsResponse(const std::string& body) {
  HttpResponse response(http::status::ok, 11);
  response.body() = body;
  return response;
}

/// A response with one row of the table of servers.
HttpResponse MakeRowResponse(const std::string& fields) {
  return MakeRowsResponse(R"({"ver":9,"now_ms":5,"truncated":false,"rows":[)"
                          R"({"table":"servers",)" +
                          fields + "}]}");
}

}  // namespace

Test(platform_headers, the_headers_of_a_callers_request_are_decoded) {
  const auto request = platform::DecodeCallerRequest(MakeHeader());
  cr_assert(request.has_value());
  cr_expect_eq(request->prompt->Count(), 1460);
  cr_expect_eq(request->max_output.Count(), 80);
  cr_expect_eq(request->prompt_parts.size(), 2u);
  cr_expect_eq(request->prompt_parts[0].id, 0x5c1e07a2u);
  cr_expect_eq(request->api_key, "key1");
  cr_expect_eq(request->deadline->count(), 15000);
}

Test(platform_headers, unreadable_headers_are_a_malformed_request) {
  for (const auto& [name, value] :
       std::map<std::string, std::string>{{"Cowslipknot-Token-Count", "x,1"},
                                          {"Cowslipknot-Prefix-Hash", "zz:1"},
                                          {"Cowslipknot-Deadline-Ms", "1s"},
                                          {"Cowslipknot-Request-Id", ""}}) {
    auto header = MakeHeader();
    header.set(name, value);
    const auto request = platform::DecodeCallerRequest(header);
    cr_assert_not(request.has_value());
    cr_expect_eq(static_cast<int>(request.error().code),
                 static_cast<int>(ResultCode::kMalformedRequest));
  }
}

Test(platform_headers,
     an_attempt_carries_no_api_key_and_no_reserved_headers_of_the_caller) {
  auto header = MakeHeader();
  header.set("Cowslipknot-Tenant", "forged");
  header.set("Kv-From", "1.2.3.4:5/x");
  header.set("Cowslipknot-Retain", "h");
  header.set(http::field::connection, "close, X-Hop");
  header.set("X-Hop", "1");
  header.set("X-Kept", "1");
  const auto request = platform::DecodeCallerRequest(header);
  AttemptFields fields;
  fields.server = ServerId("i-1");
  fields.workspace = WorkspaceId("t");
  fields.time_left = Milliseconds(1234);
  fields.priority = 3;
  platform::PrepareAttemptHeader(header, *request, fields);
  cr_expect(header["Authorization"].empty());
  cr_expect(header["Kv-From"].empty());
  cr_expect(header["Cowslipknot-Retain"].empty());
  cr_expect(header["X-Hop"].empty());
  cr_expect(header["Connection"].empty());
  cr_expect(header["X-Kept"] == "1");
  cr_expect(header["Cowslipknot-Tenant"] == "t");
  cr_expect(header["Cowslipknot-Expect-Instance"] == "i-1");
  cr_expect(header["Cowslipknot-Deadline-Ms"] == "1234");
  cr_expect(header["Cowslipknot-Token-Count"] == "1460,80");
}

Test(platform_headers, only_explicit_rejections_count_as_not_executed) {
  http::response_header<> header;
  header.result(http::status::service_unavailable);
  cr_expect_not(platform::DecodeBackendResponse(header).not_executed);
  header.set("Cowslipknot-Not-Executed", "1");
  cr_expect(platform::DecodeBackendResponse(header).not_executed);
  http::response_header<> misdirected;
  misdirected.result(http::status::misdirected_request);
  cr_expect(platform::DecodeBackendResponse(misdirected).not_executed);
}

Test(platform_headers, a_limit_is_absent_a_number_or_unreadable) {
  http::response_header<> header;
  const auto decode = [&header](const char* text) {
    header.set("Server-Limit", text);
    return *platform::DecodeBackendResponse(header).limit_per_s;
  };
  cr_expect_not(
      platform::DecodeBackendResponse(header).limit_per_s.has_value());
  cr_expect_eq(decode("1.25"), 1.25);
  cr_expect_eq(decode(" 3 "), 3);
  cr_expect_eq(decode("-2"), -2);
  cr_expect(std::isinf(decode("inf")));
  for (const char* text : {"", "nan", "soon", "2/s", "2,5"})
    cr_expect(std::isnan(decode(text)), "%s", text);
  // A server other than the one addressed says nothing of that one.
  header.result(http::status::misdirected_request);
  cr_expect_not(
      platform::DecodeBackendResponse(header).limit_per_s.has_value());
}

Test(platform_documents, a_configuration_is_decoded) {
  const auto configuration = platform::DecodeConfiguration(kConfiguration);
  cr_assert(configuration.has_value());
  cr_expect_eq(configuration->version, 7u);
  cr_expect_eq(configuration->routes[0].services.size(), 2u);
  cr_expect(configuration->routes[0].Repeatable());
  cr_expect(configuration->routes[1].is_public);
  const gateway::Service& model = configuration->services.at(ServiceId("m"));
  cr_expect(model.is_model);
  cr_expect_eq(model.scaling->boot_time.count(), 4000);
  cr_expect_float_eq(model.scaling->domain_prices.at(DomainId("z")), 1.5, 1e-9);
  cr_expect_eq(configuration->api_keys.at("k2").Text(), "t");
  cr_expect(configuration->workspaces.at(WorkspaceId("t")).counts_tokens);
  cr_expect_eq(configuration->limits.body.Count(), 200);
}

namespace {

/// A configuration with this value of the list of workspaces.
std::string WithWorkspaces(const std::string& list) {
  std::string text = R"({"version":1,"route_list":[],"services":[],"tenants":)";
  text += list;
  text += '}';
  return text;
}

}  // namespace

// Guards against a list of workspaces without any that opens all routes.
Test(platform_documents, a_list_of_workspaces_requires_keys_also_if_empty) {
  const auto open = platform::DecodeConfiguration(R"({"version":1})");
  cr_assert(open.has_value());
  cr_expect_not(open->requires_keys);
  for (const std::string list :
       {"[]", R"([{"name":"t"}])", R"([{"name":"t","api_keys":[]}])",
        R"([{"name":"t","api_keys":[""]}])"}) {
    const auto closed = platform::DecodeConfiguration(WithWorkspaces(list));
    cr_assert(closed.has_value(), "%s", list.c_str());
    cr_expect(closed->requires_keys, "%s", list.c_str());
    cr_expect(closed->api_keys.empty(), "%s", list.c_str());
  }
  for (const std::string unreadable : {"null", "{}", "\"\"", "false"}) {
    cr_expect_not(
        platform::DecodeConfiguration(WithWorkspaces(unreadable)).has_value());
  }
}

Test(platform_documents,
     the_error_of_an_invalid_configuration_names_its_field) {
  std::string text = kConfiguration;
  text.replace(text.find("\"name\":\"r1\""), 11, "\"name\":1");
  const auto configuration = platform::DecodeConfiguration(text);
  cr_assert_not(configuration.has_value());
  cr_expect_eq(configuration.error().detail, "field name");
}

Test(platform_documents, a_malformed_server_row_is_rejected) {
  const std::string good =
      R"({"service":"m","address":"10.0.0.1:80","zone":"z","version":"v1",)"
      R"("slots":4,"state":"ready","warmup_left_ms":0,"seq":1,"born":17})";
  const auto entry = platform::DecodeServer("i-1", good);
  cr_assert(entry.has_value());
  cr_expect_eq(entry->started_ms, 17);
  for (const auto& [from, to] :
       std::map<std::string, std::string>{{"\"ready\"", "\"sleeping\""},
                                          {"\"slots\":4", "\"slots\":\"4\""},
                                          {"10.0.0.1:80", "nowhere"},
                                          {"\"service\":\"m\",", ""}}) {
    std::string bad = good;
    bad.replace(bad.find(from), from.size(), to);
    cr_expect_not(platform::DecodeServer("i-1", bad).has_value());
  }
}

// Guards against entries of other writers that end the process or mark a server
// as leaving for good: their numbers were converted to narrower types without a
// check.
Test(platform_documents, a_server_row_with_a_number_out_of_range_is_rejected) {
  cr_assert(platform::DecodeServer("i-1", kServer).has_value());
  for (const std::string& number : kNumbersOutOfRange) {
    for (const std::string field : {"\"slots\":4", "\"born\":17"}) {
      const std::string name = field.substr(0, field.find(':') + 1);
      cr_expect_not(
          platform::DecodeServer("i-1", Replaced(kServer, field, name + number))
              .has_value(),
          "%s%s", name.c_str(), number.c_str());
    }
  }
  for (const std::string number : {"1e308", "-1e308", "9223372036854775807"}) {
    cr_expect_not(
        platform::DecodeServer("i-1", Replaced(kServer, "\"warmup_left_ms\":0",
                                               "\"warmup_left_ms\":" + number))
            .has_value());
  }
  for (const std::string born : {"9223372036854775807", "253402300800000"}) {
    cr_expect_not(platform::DecodeServer("i-1", Replaced(kServer, "\"born\":17",
                                                         "\"born\":" + born))
                      .has_value());
  }
  cr_expect_not(platform::DecodeServer("i-1", Replaced(kServer, "\"slots\":4",
                                                       "\"slots\":4294967296"))
                    .has_value());
}

// Guards against an address that no server can have, which requests would be
// sent to.
Test(platform_documents, a_server_row_with_an_odd_address_is_rejected) {
  for (const std::string address :
       {"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:1e3",
        "10.0.0.1:+80", "10.0.0.1: 80", "10.0.0.1:", ":80", "10.0.0.1", "",
        "10.0.0.1:99999999999999999999", "0.0.0.0:80", "224.0.0.1:80",
        "10.0.0.999:80", "host:80"}) {
    cr_expect_not(
        platform::DecodeServer("i-1", Replaced(kServer, "10.0.0.1:80", address))
            .has_value(),
        "%s", address.c_str());
  }
}

Test(platform_documents, a_deeply_nested_row_is_rejected) {
  constexpr std::size_t kDepth = 100'000;
  for (const std::string open : {"[", "{\"a\":"}) {
    std::string nested;
    for (std::size_t i = 0; i < kDepth; ++i) nested += open;
    cr_expect_not(platform::DecodeServer("i-1", nested).has_value());
    cr_expect_not(platform::DecodeServer("i-1", Replaced(kServer, "\"seq\":1",
                                                         "\"seq\":" + nested))
                      .has_value());
    cr_expect_not(platform::DecodeConfiguration(nested).has_value());
    cr_expect_not(platform::DecodeMoveOrder(nested).has_value());
  }
}

Test(platform_documents,
     a_configuration_with_a_number_out_of_range_is_rejected) {
  for (const std::string field :
       {"\"version\":7", "\"timeout_ms\":15000", "\"priority\":1",
        "\"max_attempts\":2", "\"weight\":90", "\"max_conns\":230",
        "\"kv_capacity\":1000", "\"min\":1", "\"boot_s\":4.0",
        "\"max_body_bytes\":200", "\"rate_per_s\":1000"}) {
    const std::string name = field.substr(0, field.find(':') + 1);
    for (const std::string number : {"1e308", "-1e308", "1e999"}) {
      cr_expect_not(platform::DecodeConfiguration(
                        Replaced(kConfiguration, field, name + number))
                        .has_value(),
                    "%s%s", name.c_str(), number.c_str());
    }
  }
}

Test(platform_documents, a_move_order_with_a_number_out_of_range_is_rejected) {
  const std::string good = R"({"service":"m","to":"v2","duration_s":2.5})";
  cr_assert_eq(platform::DecodeMoveOrder(good)->duration.count(), 2500);
  for (const std::string& number : kNumbersOutOfRange) {
    cr_expect_not(
        platform::DecodeMoveOrder(Replaced(good, "2.5", number)).has_value());
  }
}

// Guards against a write past the buffer of a value whose base64 lacks its
// padding.
Test(platform_rows, base64_of_any_length_is_decoded_or_rejected) {
  cr_assert(rc::check([](const std::string& value) {
    std::string text = platform::EncodeBase64(value);
    RC_ASSERT(platform::DecodeBase64(text) == value);
    while (text.ends_with('=')) text.pop_back();
    RC_ASSERT(platform::DecodeBase64(text) == value);
  }));
  for (std::size_t length = 0; length < 200; ++length)
    platform::DecodeBase64(std::string(length, 'A'));
  cr_expect_not(platform::DecodeBase64("AAAA!AAA").has_value());
  cr_expect_not(platform::DecodeBase64("AA==AA==").has_value());
}

Test(platform_rows, a_row_with_odd_fields_has_no_value_and_hides_no_other_row) {
  for (const std::string row :
       {R"("key":"i-1","ver":1e308,"value":"e30=")",
        R"("key":"i-1","ver":-1,"value":"e30=")",
        R"("key":"i-1","ver":"1","value":"e30=")",
        R"("key":"i-1","ver":3,"value":"e!30")",
        R"("key":"i-1","ver":3,"value":7)", R"("key":"i-1","ver":3)",
        R"("key":["i-1"],"ver":3,"value":"")"}) {
    const auto rows = platform::DecodeRows(MakeRowResponse(
        row + R"(},{"table":"servers","key":"i-2","ver":4,"value":"e30=")"));
    cr_assert(rows.has_value(), "%s", row.c_str());
    cr_assert_eq(rows->rows.size(), 2u);
    cr_expect(rows->rows[0].value.empty());
    cr_expect_eq(rows->rows[1].key, "i-2");
    cr_expect_eq(rows->rows[1].value, "{}");
  }
}

// Guards against the row of another part that has a server's key being taken
// for the server's: the feed has the rows of all parts.
Test(platform_rows, rows_of_other_parts_are_left_out) {
  const auto rows = platform::DecodeRows(MakeRowResponse(
      R"("part":"p","key":"i-1","ver":3,"value":"e30="},)"
      R"({"table":"servers","part":"","key":"i-1","ver":4,"value":"e30=")"));
  cr_assert(rows.has_value());
  cr_assert_eq(rows->rows.size(), 1u);
  cr_expect_eq(rows->rows[0].position.version.Count(), 4u);
}

// Guards against a response without the store's contents being taken for an
// empty table.
Test(platform_rows, an_incomplete_response_is_no_table) {
  const std::string whole =
      R"({"rows":[{"table":"servers","part":"","key":"i-1","ver":3,)"
      R"("value":"e30="}],"truncated":false,"ver":9,"now_ms":5})";
  cr_assert(platform::DecodeRows(MakeRowsResponse(whole)).has_value());
  for (std::size_t size = 0; size < whole.size(); ++size) {
    cr_expect_not(platform::DecodeRows(MakeRowsResponse(whole.substr(0, size)))
                      .has_value());
  }
  for (const std::string body :
       {"{}", R"({"rows":[]})", R"({"ver":1e308,"rows":[]})",
        R"({"ver":9,"now_ms":1e308,"rows":[]})", R"({"ver":9,"rows":{}})",
        R"({"ver":9,"rows":["x"]})", "[]", "null"}) {
    cr_expect_not(platform::DecodeRows(MakeRowsResponse(body)).has_value(),
                  "%s", body.c_str());
  }
}

Test(platform_rows, a_key_is_escaped_in_a_query) {
  cr_expect_eq(platform::EscapeQueryText("i-1"), "i-1");
  cr_expect_eq(platform::EscapeQueryText("a b&\xc3\xa9\n%"),
               "a%20b%26%C3%A9%0A%25");
}

// Guards against a document of another writer that ends the process.
Test(platform_documents, mutated_documents_never_crash_the_decoders) {
  const std::vector<std::string> pieces = {
      "1e308", "-1e308", "1e999",   "-1",   "18446744073709551615",
      "9e18",  "null",   "true",    "[]",   "{}",
      "\"\"",  "[[[[[[", "\\u0000", "\xff", "-0.0"};
  cr_assert(rc::check([&pieces](std::size_t at, std::size_t length,
                                std::size_t piece, bool is_number) {
    for (const std::string document :
         {kServer, kConfiguration,
          R"({"service":"m","to":"v2","duration_s":2.5})"}) {
      std::string mutated = document;
      std::size_t from = at % document.size();
      std::size_t count = length % 20;
      if (is_number) {
        from = document.find_first_of("0123456789", from);
        if (from == std::string::npos) from = document.size();
        const std::size_t end = document.find_first_not_of("0123456789", from);
        count = end == std::string::npos ? 0 : end - from;
      }
      mutated.replace(from, count, pieces[piece % pieces.size()]);
      platform::DecodeServer("k", mutated);
      platform::DecodeConfiguration(mutated);
      platform::DecodeMoveOrder(mutated);
      platform::DecodeRows(MakeRowsResponse(mutated));
    }
  }));
}

Test(platform_documents, arbitrary_bytes_never_crash_the_decoders) {
  cr_assert(rc::check([](const std::string& noise) {
    platform::DecodeConfiguration(noise);
    platform::DecodeServer("k", noise);
    std::string truncated = kConfiguration;
    truncated.resize(noise.size() % truncated.size());
    platform::DecodeConfiguration(truncated + noise);
  }));
}
