#include "LibPlatform/HostList.h"
#include "LibPlatform/ObjectCodec.h"
#include <criterion/criterion.h>
#include <random>

using Platform::Changes;
using Platform::Listing;

// Guards against names whose path is another object's or a query.
Test(ObjectCodec, pathsHoldAnyName)
{
    std::mt19937_64 generator(1);
    for (int i = 0; i < 1000; ++i) {
        std::string name(1 + generator() % 12, ' ');
        for (char& c : name)
            c = static_cast<char>(generator() % 4 ? "/.%?#+ &=a"[generator() % 10] : generator() % 256);
        std::string path = Platform::objectPath(name);
        cr_assert_eq(path.find_first_of("?# &=\r\n"), std::string::npos);
        cr_assert(Platform::objectNameOf(path) == name);
    }
    cr_assert_eq(Platform::objectPath("ledger/3/slot-5"), "/v1/objects/ledger/3/slot-5");
    for (const char* path : { "", "/v1/list", "/v1/objects", "/v1/objects/%", "/v1/objects/%4", "/v1/objects/%-1", "/v1/objects/%+1" })
        cr_assert_not(Platform::objectNameOf(path), "%s", path);
}

// Guards against versions that lose bits in their tag.
Test(ObjectCodec, tagsHoldAnyVersion)
{
    for (Platform::Version version : { Platform::Version(1), Platform::Version(1) << 53, UINT64_MAX })
        cr_assert(Platform::parseETag(Platform::formatETag(version)) == version);
}

// Guards against a damaged reply that crashes the daemon. Damage inside a value cannot be noticed.
Test(ObjectCodec, damagedMessagesDoNotCrash)
{
    std::mt19937_64 generator(2);
    Listing listing { 300, { { "a/1", 8, std::string("\0\xff", 2) }, { "a/2", 299, std::string(300, 'x') } } };
    Changes changes { 300, { { { "a/1", 8, "value" }, false }, { { "a/2", 299, "" }, true } } };
    std::string hosts = Platform::encodeHosts({ { "a", "d1", Platform::HostState::Live }, { "b", "d2", Platform::HostState::Leaving } });
    Core::Reason reason;
    cr_assert(Platform::decodeListing(Platform::encodeListing(listing), reason) == listing);
    cr_assert(Platform::decodeChanges(Platform::encodeChanges(changes), reason) == changes);
    for (int i = 0; i < 20'000; ++i) {
        std::string messages[] = { Platform::encodeListing(listing), Platform::encodeChanges(changes), hosts };
        for (std::string& message : messages) {
            for (uint64_t damage = 1 + generator() % 3; damage > 0; --damage)
                message[generator() % message.size()] = static_cast<char>(generator());
            message.resize(message.size() - generator() % 3);
        }
        if (!Platform::decodeListing(messages[0], reason))
            cr_assert_eq(reason.kind, Core::FailureKind::Invalid);
        if (!Platform::decodeChanges(messages[1], reason))
            cr_assert_eq(reason.kind, Core::FailureKind::Invalid);
        if (!Platform::decodeHosts(messages[2], reason))
            cr_assert_eq(reason.kind, Core::FailureKind::Invalid);
    }
}
