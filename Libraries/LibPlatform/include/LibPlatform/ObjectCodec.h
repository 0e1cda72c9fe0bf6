#pragma once

#include "LibCore/Reason.h"
#include "LibPlatform/ObjectStore.h"
#include <string>
#include <string_view>

// The encodings of the object API's messages, shared by clients and emulators.
namespace Platform {

// A version as an entity tag: a decimal number in double quotes.
std::string formatETag(Version);

// Empty unless the text is exactly one strong tag with a version above 0.
std::optional<Version> parseETag(std::string_view);

// CBOR `{revision, objects: [{name, version, value}]}`.
std::string encodeListing(const Listing&);
std::optional<Listing> decodeListing(const std::string& bytes, Core::Reason&);

// CBOR `{revision, events: [{name, version, value, deleted}]}`.
std::string encodeChanges(const Changes&);
std::optional<Changes> decodeChanges(const std::string& bytes, Core::Reason&);

// The path of an object: its name percent-encoded except for slashes.
std::string objectPath(std::string_view name);

// The name in an object's path; empty when the path is not below `/v1/objects/` or its encoding is malformed.
std::optional<std::string> objectNameOf(std::string_view path);

}
