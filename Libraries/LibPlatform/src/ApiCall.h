#pragma once

#include "LibCore/Address.h"
#include "LibCore/Async.h"
#include "LibHTTP/Client.h"
#include <memory>

namespace Platform {

// Where and as whom to call the platform.
struct Api {
    std::shared_ptr<HTTP::Client> client;
    Core::Address address;
    // The host name sent as X-Client.
    std::string clientName;
};

enum class Operation {
    Get,
    Put,
    Remove,
    List,
    Watch,
    Hosts,
};

// The part of the answer that the operations use.
struct Answer {
    HTTP::Headers headers;
    std::string body;
};

// Makes one call and returns the answer of a success. All other outcomes become a failure kind of ObjectStore.
Core::Task<std::optional<Answer>> callApi(Api, Operation, HTTP::Request, Core::Deadline, Core::Reason&);

}
