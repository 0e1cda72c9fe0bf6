#pragma once

#include "DaemonMetrics.h"
#include "HolderRecovery.h"
#include "IntentService.h"
#include "LedgerGateway.h"
#include "LibBudget/Accounts.h"
#include "LibBudget/BillQueue.h"
#include "LibCaller/CallerApi.h"
#include "LibEndpoint/EngineClient.h"
#include "LibEndpoint/ServiceClient.h"
#include "LibHTTP/Client.h"
#include "LibHTTP/Server.h"
#include "LibIntent/Freshness.h"
#include "LibLedger/LedgerService.h"
#include "LibOperator/OperatorApi.h"
#include "LibPeer/Network.h"
#include "LibPlatform/HttpObjectStore.h"
#include "LibTelemetry/Tracer.h"
#include "LibWitness/Settler.h"
#include "LibWitness/WitnessClient.h"
#include "LibWitness/WitnessService.h"
#include "MembershipService.h"
#include "RouteService.h"
#include "Settings.h"
#include "TopUpTask.h"
#include <map>
#include <memory>

// Owns the components of one daemon and connects them.
class Daemon {
public:
    // The incarnation must be greater than that of any earlier process on this host. The tracer must outlive the tasks of
    // the executor, since tasks of interrupted requests hold spans.
    Daemon(const boost::asio::any_io_executor&, Settings, uint64_t incarnation, Telemetry::Tracer&);

    // Returns the wall-clock time in microseconds or, if the clock was set back, one more than the incarnation registered
    // with the platform.
    static Core::Task<uint64_t> chooseIncarnation(const boost::asio::any_io_executor&, const Settings&);

    // Binds the addresses, joins the fleet and starts serving. Fails if an address is in use, or if neither a peer nor the
    // platform responds in time.
    Core::Task<bool> start(Core::Reason&);

    // Finishes requests in progress, returns grants, flushes bills and leaves the fleet. Returns false and sets the reason
    // if the drain limit or abortDrain() interrupted this.
    Core::Task<bool> drain(Core::Reason&);
    void abortDrain() { m_isDrainAborted = true; }

    // "listening caller=IP:PORT peer=IP:PORT operator=IP:PORT".
    std::string addressLine() const;

private:
    struct Addresses {
        Core::Address caller;
        Core::Address peer;
        Core::Address operatorApi;
    };

    Caller::Hooks makeCallerHooks();
    Platform::ObjectStore makePlatformStore();
    void registerMetrics();
    void registerMemberMetrics();
    void registerControlTrafficMetrics();
    void registerIntentMetrics();
    Ledger::Submit makeSubmit();
    Budget::BillSettings makeBillSettings();
    MembershipService::Hooks makeMembershipHooks();
    IntentService::Hooks makeIntentHooks();
    RouteService::Hooks makeRouteHooks();
    Witness::WitnessClient::Hooks makeWitnessHooks();
    Witness::Settler::Hooks makeSettlerHooks();
    HolderRecovery::Hooks makeRecoveryHooks();
    Ledger::WriterSettings makeWriterSettings();
    Budget::AccountSettings makeAccountSettings();
    void serveRecalls();
    void recallGrants(const Ledger::BudgetId&, const std::vector<Ledger::Holder>&);
    Operator::OperatorSettings makeOperatorSettings() const;
    Operator::OperatorHooks makeOperatorHooks();
    Core::Task<Intent::AcceptResult> acceptNote(Intent::Submission);
    std::optional<Intent::Note> changesSince(uint64_t from) const;
    Core::Task<std::optional<std::vector<Intent::AcceptedNote>>> history(uint64_t after, size_t limit, Core::Reason&);
    Core::Task<std::optional<std::string>> auditJson(Core::Reason&);
    Core::Task<void> handleOperator(HTTP::Request, HTTP::ResponseWriter&);
    HTTP::Response replaceFaults(const HTTP::Request&);
    Witness::OwnerState ownerState(const Ledger::Holder&) const;
    Core::Task<std::optional<Ledger::Tokens>> cancelStream(std::string endpoint, std::string streamId, Core::Deadline, Core::Reason&);
    std::optional<Caller::Refusal> admission() const;
    Core::Task<std::optional<Caller::Hooks::OpenResult>> openAttempt(Witness::Record, bool mayBeRetry, Core::Deadline, Core::Reason&);
    Core::Task<bool> closeAttempt(Ledger::Usage, Core::Deadline, Core::Reason&);
    Core::Task<bool> submitEntry(Ledger::Entry, Core::Deadline, Core::Reason&);
    void intentChanged(std::shared_ptr<const Intent::FleetState>);
    void startTasks();
    Core::Task<void> dropIdleShards();
    Core::Task<bool> submitRecords(Core::Deadline, Core::Reason&);
    Core::Task<bool> waitUntilIdle(Core::Deadline, const char* what, std::function<size_t()> remaining, Core::Reason&);

    boost::asio::any_io_executor m_executor;
    Settings m_settings;
    Ledger::Holder m_self;
    Addresses m_addresses;
    // Addresses of all endpoints that were ever part of the intent, since streams of withdrawn endpoints still have to be settled.
    std::map<std::string, Core::Address> m_endpointAddresses;
    bool m_isReady { false };
    bool m_isDraining { false };
    bool m_isDrainAborted { false };

    Telemetry::Tracer& m_tracer;
    DaemonMetrics m_metrics;
    std::shared_ptr<HTTP::Client> m_client;
    // Instrumented with metrics and, if a trace file is set, with spans.
    Platform::ObjectStore m_platform;
    Intent::Freshness m_freshness;
    Peer::Network m_network;
    MembershipService m_membership;
    IntentService m_intent;
    Witness::RecordStore m_records;
    Witness::WitnessService m_witnessService;
    Witness::WitnessClient m_witness;
    Ledger::LedgerService m_ledger;
    LedgerGateway m_gateway;
    Budget::Accounts m_accounts;
    Budget::BillQueue m_bills;
    TopUpTask m_topUps;
    Endpoint::EngineClient m_engines;
    Endpoint::ServiceClient m_services;
    Witness::Settler m_settler;
    HolderRecovery m_recovery;
    RouteService m_routes;
    Caller::Hooks m_callerHooks;
    Caller::ChatHandler m_chat;
    Caller::ServiceHandler m_serviceCalls;
    Caller::CallerApi m_callerApi;
    Operator::OperatorApi m_operatorApi;
    HTTP::Server m_callerServer;
    HTTP::Server m_operatorServer;
};
