#include "Daemon.h"

// Metrics whose values are read from the daemon's components when they are scraped.

using Core::SteadyClock;

void Daemon::registerMemberMetrics()
{
    static const std::pair<Membership::MemberState, const char*> states[] = { { Membership::MemberState::Alive, "alive" }, { Membership::MemberState::Draining, "draining" },
        { Membership::MemberState::Suspect, "suspect" }, { Membership::MemberState::Left, "left" } };
    for (const std::pair<Membership::MemberState, const char*>& state : states) {
        m_metrics.registry().observe(
            "jujuberelay_members", "Known daemons by state, this one included.",
            [this, labelState = state.first] {
                double count = 0;
                for (const Membership::Member& member : m_membership.all())
                    count += member.state == labelState ? 1 : 0;
                return count;
            },
            { { "state", state.second } });
    }
}

void Daemon::registerControlTrafficMetrics()
{
    Telemetry::Metrics& registry = m_metrics.registry();
    static const char* const bytesHelp = "Bytes of links between daemons, by direction.";
    static const char* const messagesHelp = "Messages of links between daemons, by direction.";
    registry.observeCounter(
        "jujuberelay_control_bytes_total", bytesHelp, [this] { return m_network.counters().bytesSent; }, { { "direction", "sent" } });
    registry.observeCounter(
        "jujuberelay_control_bytes_total", bytesHelp, [this] { return m_network.counters().bytesReceived; }, { { "direction", "received" } });
    registry.observeCounter(
        "jujuberelay_control_messages_total", messagesHelp, [this] { return m_network.counters().messagesSent; }, { { "direction", "sent" } });
    registry.observeCounter(
        "jujuberelay_control_messages_total", messagesHelp, [this] { return m_network.counters().messagesReceived; }, { { "direction", "received" } });
    registry.observeCounter("jujuberelay_control_links_refused_total", "Links of other daemons that failed the handshake.", [this] { return m_network.counters().linksRefused; });
}

void Daemon::registerIntentMetrics()
{
    static const std::pair<Intent::FreshnessState, const char*> states[] = { { Intent::FreshnessState::Unconfirmed, "unconfirmed" }, { Intent::FreshnessState::Fresh, "fresh" },
        { Intent::FreshnessState::Behind, "behind" }, { Intent::FreshnessState::Isolated, "isolated" }, { Intent::FreshnessState::Outage, "outage" } };
    Telemetry::Metrics& registry = m_metrics.registry();
    registry.observe("jujuberelay_intent_generation", "Generation of the intended state in force.", [this] {
        std::shared_ptr<const Intent::FleetState> state = m_intent.state();
        return state ? static_cast<double>(state->generation) : 0;
    });
    registry.observe("jujuberelay_may_dispatch", "1 while the intended state is fresh enough to dispatch requests.", [this] {
        return m_freshness.mayDispatch(SteadyClock::now()) ? 1.0 : 0.0;
    });
    // NaN before the first confirmation.
    registry.observe("jujuberelay_intent_confirmation_age_seconds", "Age of the latest confirmation of the generation in force.", [this] {
        std::optional<std::chrono::milliseconds> age = m_freshness.confirmationAge(SteadyClock::now());
        return age ? std::chrono::duration<double>(*age).count() : std::numeric_limits<double>::quiet_NaN();
    });
    for (const std::pair<Intent::FreshnessState, const char*>& state : states) {
        registry.observe(
            "jujuberelay_freshness", "1 for the state of the freshness rule.",
            [this, labelState = state.first] { return m_freshness.state(SteadyClock::now()) == labelState ? 1.0 : 0.0; },
            { { "state", state.second } });
    }
}

void Daemon::registerMetrics()
{
    Telemetry::Metrics& registry = m_metrics.registry();
    registry.observe("jujuberelay_pending_bills", "Bills that are not in the ledger yet.", [this] { return static_cast<double>(m_bills.pending()); });
    registry.observe("jujuberelay_unresolved_attempts", "Attempts whose count an endpoint still owes.", [this] { return static_cast<double>(m_chat.unresolvedAttempts()); });
    registry.observe("jujuberelay_pending_outcomes", "Claims and outcomes of service calls that are not in the ledger yet.", [this] { return static_cast<double>(m_serviceCalls.pendingOutcomes()); });
    registry.observe("jujuberelay_records_kept", "Unbilled records kept for other daemons.", [this] { return static_cast<double>(m_records.recordCount()); });
    registry.observe("jujuberelay_queue_length", "Requests that wait for an endpoint with room.", [this] { return static_cast<double>(m_routes.waiting()); });
    registry.observe("jujuberelay_endpoint_requests_in_flight", "Requests of this daemon in flight at endpoints.", [this] { return static_cast<double>(m_routes.inFlight()); });
    registerMemberMetrics();
    registerControlTrafficMetrics();
    registerIntentMetrics();
}
