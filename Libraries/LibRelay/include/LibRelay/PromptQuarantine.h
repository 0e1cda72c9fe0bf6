#pragma once

#include "LibCore/Deadline.h"
#include "LibRelay/CallerRequest.h"
#include "LibRelay/ExpiringSet.h"
#include "LibRelay/SuspectPart.h"
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Relay {

struct QuarantineSettings {
    // Engine processes that a part must have crashed before requests with it are refused.
    size_t crashesForQuarantine { 3 };
    // Known crashes of a part after which a request that has just crashed an engine is not sent to a further one.
    size_t crashesWithoutRetry { 2 };
    // A part is sound for this long after an engine has survived an answer with it; a part that was cleared is not reported again
    // for as long.
    std::chrono::milliseconds soundTime { 20'000 };
    // A quarantine ends this long after the last crash that was recorded.
    std::chrono::milliseconds quarantineTime { 600'000 };
    // A daemon that has begun no answer for `soundTime` and has refused this many requests meanwhile refuses no more until an answer
    // begins: after an outage of all engines, the quarantine of a part that most prompts share would otherwise keep itself up.
    size_t maxRefusalsWithoutAnswer { 10 };
    // A crash that could not be written for this long is no longer reported to the other daemons.
    std::chrono::milliseconds reportTime { 5'000 };
    // Upper bounds of the random delay before the record of a sound part, or one that has expired, is removed, so that few of the
    // daemons that could remove it do.
    std::chrono::milliseconds maxRemovalDelay { 200 };
    std::chrono::milliseconds maxExpiryDelay { 10'000 };
    // Bounds of the tables.
    size_t maxSoundParts { 8'192 };
    size_t maxSuspects { 512 };
};

// A part that keeps a request from being served.
struct QuarantinedPart {
    std::string id;
    std::vector<EngineCrash> crashes;
    Core::Deadline until { Core::Deadline::never() };
};

// A write to the store that is due.
struct RecordChange {
    // The record to be written, or to be removed.
    SuspectRecord record;
    bool isRemoval { false };
};

// Decides which prompt parts crash engines. The evidence against a part is that engines ended while they answered a request with
// it, or shortly after the end of the answer. It is refuted by an engine that still runs some time after it has completed such an
// answer; an answer that has only begun proves nothing. The last part of a prompt is specific to its request and is never a suspect.
class PromptQuarantine {
public:
    // `changed` is called when a write may have become due.
    explicit PromptQuarantine(QuarantineSettings = {}, std::function<void()> changed = {}, Core::SteadyClock::time_point now = Core::SteadyClock::now());

    // Records that any answer has begun, or a whole one has arrived.
    void recordAnswerBegun(Core::SteadyClock::time_point now);
    // Records that an engine has survived a complete answer to a prompt with these parts.
    void recordSurvival(const std::vector<PromptPart>&, Core::SteadyClock::time_point now);
    // Records that an engine ended while it answered a prompt with these parts, or shortly after.
    void recordCrash(const std::vector<PromptPart>&, const EngineCrash&, Core::SteadyClock::time_point now);

    // Whether a crash would be evidence against one of the parts.
    bool hasUnprovenParts(const std::vector<PromptPart>&, Core::SteadyClock::time_point now) const;
    // Whether an engine has ended while it answered a prompt with one of the parts, and no engine has survived an answer with it
    // lately.
    bool isSuspected(const std::vector<PromptPart>&, Core::SteadyClock::time_point now) const;
    // The quarantined part with the most crashes; empty if the prompt may be sent. Where another part may have caused all crashes of
    // a part, only prompts with both are held back: the next answer or crash tells them apart.
    std::optional<QuarantinedPart> findQuarantined(const std::vector<PromptPart>&, Core::SteadyClock::time_point now) const;
    // Records that a request was refused because of a quarantined part.
    void recordRefusal() { ++m_refusalsSinceAnswer; }
    // Whether a request that has crashed an engine may be sent to another one.
    bool mayRetry(const std::vector<PromptPart>&, Core::SteadyClock::time_point now) const;

    // Adopts a record of the store. One that is older than the known one is ignored.
    void adopt(SuspectRecord, Core::SteadyClock::time_point now);
    // Replaces all records with a listing.
    void replaceAll(std::vector<SuspectRecord>, Core::SteadyClock::time_point now);
    // The store was restored from an older copy and may have lost records: what this daemon knows is reported again.
    void storeRestored(Core::SteadyClock::time_point now);
    // The record was removed from the store.
    void remove(uint64_t key, const char* reason, Core::SteadyClock::time_point now);

    // The most important write that is due, if any.
    std::optional<RecordChange> dueChange(Core::SteadyClock::time_point now) const;
    // The write of a part's crashes that the store does not have, if any.
    std::optional<RecordChange> reportOf(uint64_t key, Core::SteadyClock::time_point now) const;
    // The part's crashes are not written until there is another one.
    void abandonReport(uint64_t key);
    // The part's record is not removed before the given time.
    void postponeRemoval(uint64_t key, Core::SteadyClock::time_point until);

    size_t suspects() const { return m_suspects.size(); }
    size_t quarantinedParts(Core::SteadyClock::time_point now) const;

private:
    struct Suspect {
        // As in the store; version 0 if it has none.
        SuspectRecord record;
        // With this daemon's own crashes.
        SuspectPart merged;
        Core::SteadyClock::time_point expiresAt {};
        // The crashes that the store does not have are reported until then.
        Core::SteadyClock::time_point reportUntil {};
        // When this daemon removes the record.
        Core::SteadyClock::time_point removeAt {};
        bool isLogged { false };
    };

    bool isProven(uint64_t key, Core::SteadyClock::time_point now) const;
    bool isQuarantined(uint64_t key, const Suspect&, Core::SteadyClock::time_point now) const;
    // Whether a quarantined part that is not among the keys explains the suspect's crashes.
    bool isExplainedByOthers(const Suspect&, const std::set<uint64_t>& keys, Core::SteadyClock::time_point now) const;
    Suspect& suspectOf(uint64_t key, const std::string& partId);
    void logIfQuarantined(uint64_t key, Suspect&, Core::SteadyClock::time_point now);
    // The part has crashed another engine.
    void extend(Suspect&, Core::SteadyClock::time_point now) const;
    // A survived answer has refuted the suspicion. False if the record is about to be removed already.
    bool refute(Suspect&, Core::SteadyClock::time_point now) const;
    void notifyChanged() const;

    QuarantineSettings m_settings;
    std::function<void()> m_changed;
    // When an answer last began, or the daemon started.
    Core::SteadyClock::time_point m_answeredAt;
    size_t m_refusalsSinceAnswer { 0 };
    // Parts of answers that engines have survived.
    ExpiringSet m_sound;
    // Parts whose record was removed.
    ExpiringSet m_cleared;
    std::map<uint64_t, Suspect> m_suspects;
};

}
