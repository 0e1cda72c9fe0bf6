#include "LibRelay/PromptQuarantine.h"

#include "Events.h"
#include "LibCore/Random.h"
#include <algorithm>
#include <span>
#include <utility>

namespace Relay {

using TimePoint = Core::SteadyClock::time_point;

// Longer ids are not recorded, which bounds the memory that callers can take up.
static constexpr size_t maxPartIdBytes = 256;

static std::span<const PromptPart> shareableParts(const std::vector<PromptPart>& parts)
{
    return std::span(parts).first(parts.empty() ? 0 : parts.size() - 1);
}

static std::set<uint64_t> shareableKeys(const std::vector<PromptPart>& parts)
{
    std::set<uint64_t> keys;
    for (const PromptPart& part : shareableParts(parts))
        keys.insert(suspectKeyOf(part.id));
    return keys;
}

static std::string describe(const SuspectPart& part)
{
    std::string text = "part=" + part.id + " object=" + suspectNameOf(suspectKeyOf(part.id)) + " crashes=" + std::to_string(part.crashes.size()) + " engines=";
    for (const EngineCrash& crash : part.crashes)
        text += crash.endpointId + "@" + std::to_string(crash.startedAtMs) + ",";
    return text;
}

PromptQuarantine::PromptQuarantine(QuarantineSettings settings, std::function<void()> changed, TimePoint now)
    : m_settings(settings)
    , m_changed(std::move(changed))
    , m_answeredAt(now)
    , m_sound(settings.soundTime, settings.maxSoundParts)
    , m_cleared(settings.soundTime, settings.maxSoundParts)
{
}

void PromptQuarantine::notifyChanged() const
{
    if (m_changed)
        m_changed();
}

bool PromptQuarantine::isProven(uint64_t key, TimePoint now) const
{
    return m_sound.contains(key, now) || m_cleared.contains(key, now);
}

bool PromptQuarantine::isQuarantined(uint64_t key, const Suspect& suspect, TimePoint now) const
{
    return suspect.merged.crashes.size() >= m_settings.crashesForQuarantine && now < suspect.expiresAt && !m_sound.contains(key, now);
}

static std::chrono::milliseconds randomDelay(std::chrono::milliseconds max)
{
    return std::chrono::milliseconds(Core::randomBelow(static_cast<uint64_t>(max.count()) + 1));
}

void PromptQuarantine::extend(Suspect& suspect, TimePoint now) const
{
    suspect.expiresAt = now + m_settings.quarantineTime;
    suspect.removeAt = suspect.expiresAt + randomDelay(m_settings.maxExpiryDelay);
}

bool PromptQuarantine::refute(Suspect& suspect, TimePoint now) const
{
    if (suspect.removeAt <= now + m_settings.maxRemovalDelay)
        return false;
    suspect.removeAt = now + randomDelay(m_settings.maxRemovalDelay);
    return true;
}

PromptQuarantine::Suspect& PromptQuarantine::suspectOf(uint64_t key, const std::string& partId)
{
    auto it = m_suspects.find(key);
    if (it != m_suspects.end())
        return it->second;
    if (m_suspects.size() >= m_settings.maxSuspects) {
        auto least = std::min_element(m_suspects.begin(), m_suspects.end(), [](const auto& a, const auto& b) {
            return std::pair(a.second.merged.crashes.size(), a.second.expiresAt) < std::pair(b.second.merged.crashes.size(), b.second.expiresAt);
        });
        m_suspects.erase(least);
    }
    Suspect& suspect = m_suspects[key];
    suspect.record.part.id = partId;
    suspect.merged.id = partId;
    return suspect;
}

void PromptQuarantine::logIfQuarantined(uint64_t key, Suspect& suspect, TimePoint now)
{
    if (suspect.isLogged || !isQuarantined(key, suspect, now))
        return;
    suspect.isLogged = true;
    Core::logEvent(Events::partQuarantined, describe(suspect.merged) + " for_ms=" + std::to_string(m_settings.quarantineTime.count()));
}

void PromptQuarantine::recordAnswerBegun(TimePoint now)
{
    m_answeredAt = now;
    m_refusalsSinceAnswer = 0;
}

void PromptQuarantine::recordSurvival(const std::vector<PromptPart>& parts, TimePoint now)
{
    bool isChanged = false;
    for (const PromptPart& part : shareableParts(parts)) {
        uint64_t key = suspectKeyOf(part.id);
        m_sound.add(key, now);
        auto it = m_suspects.find(key);
        if (it == m_suspects.end())
            continue;
        if (it->second.record.version == 0) {
            m_suspects.erase(it);
        } else {
            isChanged = refute(it->second, now) || isChanged;
        }
    }
    if (isChanged)
        notifyChanged();
}

void PromptQuarantine::recordCrash(const std::vector<PromptPart>& parts, const EngineCrash& crash, TimePoint now)
{
    bool isChanged = false;
    for (const PromptPart& part : shareableParts(parts)) {
        uint64_t key = suspectKeyOf(part.id);
        if (part.id.size() > maxPartIdBytes || isProven(key, now))
            continue;
        Suspect& suspect = suspectOf(key, part.id);
        if (!suspect.merged.add(crash))
            continue;
        extend(suspect, now);
        suspect.reportUntil = now + m_settings.reportTime;
        isChanged = true;
        Core::logEvent(Events::partSuspected, describe(suspect.merged) + " endpoint=" + crash.endpointId);
        logIfQuarantined(key, suspect, now);
    }
    if (isChanged)
        notifyChanged();
}

bool PromptQuarantine::hasUnprovenParts(const std::vector<PromptPart>& parts, TimePoint now) const
{
    std::span<const PromptPart> shareable = shareableParts(parts);
    return std::any_of(shareable.begin(), shareable.end(), [this, now](const PromptPart& part) { return !isProven(suspectKeyOf(part.id), now); });
}

bool PromptQuarantine::isSuspected(const std::vector<PromptPart>& parts, TimePoint now) const
{
    if (m_suspects.empty())
        return false;
    std::span<const PromptPart> shareable = shareableParts(parts);
    return std::any_of(shareable.begin(), shareable.end(), [this, now](const PromptPart& part) {
        auto suspect = m_suspects.find(suspectKeyOf(part.id));
        return suspect != m_suspects.end() && now < suspect->second.expiresAt && !m_sound.contains(suspect->first, now);
    });
}

bool PromptQuarantine::isExplainedByOthers(const Suspect& suspect, const std::set<uint64_t>& keys, TimePoint now) const
{
    size_t maxUnexplained = m_settings.crashesForQuarantine - 1;
    return std::any_of(m_suspects.begin(), m_suspects.end(), [&](const auto& other) {
        return !keys.contains(other.first) && isQuarantined(other.first, other.second, now) && other.second.merged.explains(suspect.merged, maxUnexplained);
    });
}

std::optional<QuarantinedPart> PromptQuarantine::findQuarantined(const std::vector<PromptPart>& parts, TimePoint now) const
{
    std::optional<QuarantinedPart> found;
    bool isWithoutAnswers = now - m_answeredAt > m_settings.soundTime && m_refusalsSinceAnswer >= m_settings.maxRefusalsWithoutAnswer;
    if (m_suspects.empty() || isWithoutAnswers)
        return found;
    std::set<uint64_t> keys = shareableKeys(parts);
    for (const PromptPart& part : shareableParts(parts)) {
        auto it = m_suspects.find(suspectKeyOf(part.id));
        if (it == m_suspects.end() || !isQuarantined(it->first, it->second, now) || isExplainedByOthers(it->second, keys, now))
            continue;
        if (!found || it->second.merged.crashes.size() >= found->crashes.size())
            found = QuarantinedPart { part.id, it->second.merged.crashes, Core::Deadline(it->second.expiresAt) };
    }
    return found;
}

bool PromptQuarantine::mayRetry(const std::vector<PromptPart>& parts, TimePoint now) const
{
    std::set<uint64_t> keys = shareableKeys(parts);
    return std::none_of(keys.begin(), keys.end(), [&](uint64_t key) {
        auto it = m_suspects.find(key);
        if (it == m_suspects.end() || now >= it->second.expiresAt || m_sound.contains(key, now))
            return false;
        return it->second.merged.crashes.size() >= m_settings.crashesWithoutRetry && !isExplainedByOthers(it->second, keys, now);
    });
}

void PromptQuarantine::adopt(SuspectRecord record, TimePoint now)
{
    uint64_t key = suspectKeyOf(record.part.id);
    Suspect& suspect = suspectOf(key, record.part.id);
    if (record.version <= suspect.record.version)
        return;
    // The store does not order the crashes of two records in time, so any new one counts as the last.
    bool hasNewCrash = std::any_of(record.part.crashes.begin(), record.part.crashes.end(), [&suspect](const EngineCrash& crash) { return !suspect.merged.contains(crash); });
    if (hasNewCrash || suspect.record.version == 0)
        extend(suspect, now);
    // Crashes that the earlier record had and the new one has dropped are not kept.
    std::erase_if(suspect.merged.crashes, [&suspect](const EngineCrash& crash) { return suspect.record.part.contains(crash); });
    SuspectPart merged = record.part;
    for (const EngineCrash& crash : suspect.merged.crashes)
        merged.add(crash);
    suspect.record = std::move(record);
    suspect.merged = std::move(merged);
    if (m_sound.contains(key, now))
        refute(suspect, now);
    logIfQuarantined(key, suspect, now);
    notifyChanged();
}

void PromptQuarantine::replaceAll(std::vector<SuspectRecord> records, TimePoint now)
{
    std::map<uint64_t, SuspectRecord> listed;
    for (SuspectRecord& record : records)
        listed.insert_or_assign(suspectKeyOf(record.part.id), std::move(record));
    std::vector<uint64_t> missing;
    for (const auto& [key, suspect] : m_suspects) {
        if (suspect.record.version != 0 && !listed.contains(key))
            missing.push_back(key);
    }
    for (uint64_t key : missing)
        remove(key, "the record is not in the store's listing", now);
    for (auto& [key, record] : listed)
        adopt(std::move(record), now);
}

void PromptQuarantine::storeRestored(TimePoint now)
{
    for (auto& [key, suspect] : m_suspects) {
        suspect.record.part.crashes.clear();
        suspect.record.version = 0;
        suspect.reportUntil = now + m_settings.reportTime;
    }
    notifyChanged();
}

void PromptQuarantine::remove(uint64_t key, const char* reason, TimePoint now)
{
    m_cleared.add(key, now);
    auto it = m_suspects.find(key);
    if (it == m_suspects.end())
        return;
    Core::logEvent(Events::partCleared, describe(it->second.merged) + " was_quarantined=" + std::to_string(it->second.isLogged) + " sound=" + std::to_string(m_sound.contains(key, now)) + " reason=\"" + reason + "\"");
    m_suspects.erase(it);
}

std::optional<RecordChange> PromptQuarantine::reportOf(uint64_t key, TimePoint now) const
{
    auto it = m_suspects.find(key);
    if (it == m_suspects.end() || now >= it->second.reportUntil || isProven(key, now))
        return std::nullopt;
    const Suspect& suspect = it->second;
    bool isReported = std::all_of(suspect.merged.crashes.begin(), suspect.merged.crashes.end(), [&suspect](const EngineCrash& crash) { return suspect.record.part.contains(crash); });
    if (isReported)
        return std::nullopt;
    return RecordChange { { suspect.merged, suspect.record.version }, false };
}

std::optional<RecordChange> PromptQuarantine::dueChange(TimePoint now) const
{
    std::optional<RecordChange> report;
    for (const auto& [key, suspect] : m_suspects) {
        if (suspect.removeAt <= now)
            return RecordChange { suspect.record, true };
        std::optional<RecordChange> candidate = reportOf(key, now);
        // The part with the most crashes is the likeliest cause.
        if (candidate && (!report || candidate->record.part.crashes.size() > report->record.part.crashes.size()))
            report = std::move(candidate);
    }
    return report;
}

void PromptQuarantine::abandonReport(uint64_t key)
{
    auto it = m_suspects.find(key);
    if (it != m_suspects.end())
        it->second.reportUntil = {};
}

void PromptQuarantine::postponeRemoval(uint64_t key, TimePoint until)
{
    auto it = m_suspects.find(key);
    if (it != m_suspects.end())
        it->second.removeAt = until;
}

size_t PromptQuarantine::quarantinedParts(TimePoint now) const
{
    return static_cast<size_t>(std::count_if(m_suspects.begin(), m_suspects.end(), [this, now](const auto& entry) { return isQuarantined(entry.first, entry.second, now); }));
}

}
