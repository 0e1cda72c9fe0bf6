#pragma once

#include "LibRelay/Configuration.h"

namespace Relay {

// Time to the first event as a linear function of the prompt tokens that an engine has to read, fitted to the observations of one
// service. Recent observations count most.
class FirstEventFit {
public:
    FirstEventFit();

    void add(Tokens tokens, double milliseconds);

    double predictMs(Tokens tokens) const { return m_baseMs + m_msPerToken * static_cast<double>(tokens); }
    // Time to the first event without any token to read.
    double baseMs() const { return m_baseMs; }
    double msPerToken() const { return m_msPerToken; }

private:
    void addWeighted(double weight, double tokens, double milliseconds);
    void solve();

    double m_weight { 0 };
    double m_tokens { 0 };
    double m_milliseconds { 0 };
    double m_squaredTokens { 0 };
    double m_product { 0 };
    double m_baseMs { 0 };
    double m_msPerToken { 0 };
};

}
