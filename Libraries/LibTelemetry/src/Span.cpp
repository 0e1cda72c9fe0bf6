#include "LibTelemetry/Span.h"

#include "LibTelemetry/Tracer.h"

namespace Telemetry {

static constexpr size_t maxAttributes = 32;
static constexpr size_t maxStringBytes = 1024;

Span& Span::operator=(Span&& other) noexcept
{
    if (this == &other)
        return *this;
    end();
    m_tracer = other.m_tracer;
    m_context = other.m_context;
    m_data = std::move(other.m_data);
    m_start = other.m_start;
    return *this;
}

void Span::setAttribute(std::string_view name, std::string_view value)
{
    if (m_data && m_data->attributes.size() < maxAttributes)
        m_data->attributes.push_back({ std::string(name), std::string(value.substr(0, maxStringBytes)) });
}

void Span::setAttribute(std::string_view name, int64_t value)
{
    if (m_data && m_data->attributes.size() < maxAttributes)
        m_data->attributes.push_back({ std::string(name), value });
}

void Span::setError(std::string_view message)
{
    if (m_data)
        m_data->error = message.empty() ? "unknown error" : std::string(message.substr(0, maxStringBytes));
}

void Span::end()
{
    if (!m_data)
        return;
    std::unique_ptr<SpanData> data = std::move(m_data);
    // The duration is measured with the steady clock, since the system clock may be adjusted during the span.
    data->endUnixNs = data->startUnixNs + std::chrono::nanoseconds(Core::SteadyClock::now() - m_start).count();
    m_tracer->enqueue(std::move(*data));
}

}
