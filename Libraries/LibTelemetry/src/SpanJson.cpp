#include "LibTelemetry/Tracer.h"

#include <nlohmann/json.hpp>

namespace Telemetry {

using nlohmann::json;

static constexpr int statusCodeError = 2;

static json toJson(const Attribute& attribute)
{
    json value;
    if (std::holds_alternative<std::string>(attribute.value))
        value["stringValue"] = std::get<std::string>(attribute.value);
    else
        value["intValue"] = std::to_string(std::get<int64_t>(attribute.value));
    return { { "key", attribute.name }, { "value", std::move(value) } };
}

// OTLP/JSON encodes 64-bit integers as strings, and trace and span IDs as hexadecimal strings.
static json toJson(const SpanData& span)
{
    json value = { { "traceId", span.context.traceIdText() }, { "spanId", span.context.spanIdText() }, { "name", span.name },
        { "kind", static_cast<int>(span.kind) }, { "startTimeUnixNano", std::to_string(span.startUnixNs) },
        { "endTimeUnixNano", std::to_string(span.endUnixNs) } };
    if (span.parentSpanId != 0)
        value["parentSpanId"] = hexText(span.parentSpanId);
    for (const Attribute& attribute : span.attributes)
        value["attributes"].push_back(toJson(attribute));
    if (!span.error.empty())
        value["status"] = { { "code", statusCodeError }, { "message", span.error } };
    return value;
}

std::string encodeSpans(const std::string& serviceName, const std::string& host, const std::vector<SpanData>& spans)
{
    json list = json::array();
    for (const SpanData& span : spans)
        list.push_back(toJson(span));
    json resource;
    resource["attributes"] = { toJson(Attribute { "service.name", serviceName }), toJson(Attribute { "service.instance.id", host }) };
    json scopeSpans;
    scopeSpans["scope"]["name"] = "jujuberelay";
    scopeSpans["spans"] = std::move(list);
    json resourceSpans;
    resourceSpans["resource"] = std::move(resource);
    resourceSpans["scopeSpans"] = json::array({ std::move(scopeSpans) });
    json request;
    request["resourceSpans"] = json::array({ std::move(resourceSpans) });
    // Attributes may contain client data that is not valid UTF-8.
    return request.dump(-1, ' ', false, json::error_handler_t::replace);
}

}
