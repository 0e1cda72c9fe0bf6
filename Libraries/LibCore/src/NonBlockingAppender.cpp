#include "NonBlockingAppender.h"

#include "LibCore/EventLog.h"
#include <fcntl.h>
#include <log4cplus/layout.h>
#include <sstream>
#include <unistd.h>
#include <utility>

namespace Core {

static constexpr Event linesDropped { 1002, Severity::Warning, "log_lines_dropped" };
// Lines are dropped while this many bytes wait for the reader.
static constexpr size_t maxPendingBytes = 256 * 1024;

NonBlockingAppender::NonBlockingAppender(int descriptor)
    : m_descriptor(descriptor)
{
    int flags = ::fcntl(descriptor, F_GETFL);
    if (flags >= 0)
        ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

NonBlockingAppender::~NonBlockingAppender()
{
    destructorImpl();
}

void NonBlockingAppender::close()
{
    flush();
    closed = true;
}

void NonBlockingAppender::append(const log4cplus::spi::InternalLoggingEvent& event)
{
    if (m_pending.size() > maxPendingBytes)
        flush();
    if (m_pending.size() > maxPendingBytes) {
        ++m_dropped;
        return;
    }
    if (m_dropped > 0)
        m_pending += "WARN E" + std::to_string(linesDropped.number) + " " + linesDropped.name + ": " + std::to_string(std::exchange(m_dropped, 0)) + " lines, because the reader of the log did not keep up\n";
    std::ostringstream line;
    layout->formatAndAppend(line, event);
    m_pending += line.str();
    flush();
}

void NonBlockingAppender::flush()
{
    size_t written = 0;
    while (written < m_pending.size()) {
        ssize_t count = ::write(m_descriptor, m_pending.data() + written, m_pending.size() - written);
        if (count <= 0)
            break;
        written += static_cast<size_t>(count);
    }
    m_pending.erase(0, written);
}

}
