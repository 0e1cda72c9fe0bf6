#include "LibRelay/StreamHandover.h"

#include "PeerMessage.h"
#include <algorithm>
#include <map>

namespace Relay {

using nlohmann::json;

static constexpr size_t maxMessageDepth = 4;

std::string encodeHandover(const StreamHandover& handover)
{
    std::map<StreamOrigin, json> lists;
    for (const HandedStream& stream : handover.streams) {
        json& list = lists.try_emplace(stream.origin, json::array()).first->second;
        list.push_back(stream.key);
        list.push_back(stream.left.count());
    }
    json message = json::array();
    for (auto& [origin, list] : lists)
        message.push_back(json::array({ origin.service, origin.softwareVersion, std::move(list) }));
    return packMessage({ { "streams", std::move(message) }, { "urgent", handover.isUrgent } });
}

std::optional<StreamHandover> decodeHandover(const std::string& bytes, Core::Reason& reason)
{
    return unpackMessage(bytes, maxMessageDepth, "decode streams of a peer", reason, [](const json& message) {
        StreamHandover handover;
        handover.isUrgent = message.at("urgent").get<bool>();
        for (const json& entry : message.at("streams")) {
            StreamOrigin origin { entry.at(0).get<std::string>(), entry.at(1).get<std::string>() };
            const json& list = entry.at(2);
            for (size_t i = 0; i < list.size(); i += 2)
                handover.streams.push_back({ list.at(i).get<uint64_t>(), origin, std::chrono::milliseconds(std::max<int64_t>(0, list.at(i + 1).get<int64_t>())) });
        }
        return handover;
    });
}

}
