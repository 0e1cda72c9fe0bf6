#pragma once

#include "LibCore/Address.h"
#include "LibHTTP/Client.h"
#include "LibPlatform/ObjectStore.h"
#include <memory>
#include <string>

namespace Platform {

// The platform's object API over HTTP at one address.
class HttpObjectStore {
public:
    // The client name is this host's name; the platform sees it as X-Client.
    HttpObjectStore(std::shared_ptr<HTTP::Client>, Core::Address, std::string clientName);

    // Functions that remain valid after this object is gone. A watch is held for at most 35 s per request and renewed
    // until its deadline, so that a connection that has died silently is noticed.
    ObjectStore hooks() const;

private:
    std::shared_ptr<HTTP::Client> m_client;
    Core::Address m_address;
    std::string m_clientName;
};

}
