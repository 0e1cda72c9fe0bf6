#pragma once

#include <log4cplus/appender.h>
#include <string>

namespace Core {

// Writes log lines to a file descriptor without ever waiting for its reader.
class NonBlockingAppender final : public log4cplus::Appender {
public:
    // Makes the descriptor non-blocking.
    explicit NonBlockingAppender(int descriptor);
    ~NonBlockingAppender() override;

    void close() override;

private:
    void append(const log4cplus::spi::InternalLoggingEvent&) override;
    void flush();

    int m_descriptor;
    // Lines that the reader has not taken yet.
    std::string m_pending;
    uint64_t m_dropped { 0 };
};

}
