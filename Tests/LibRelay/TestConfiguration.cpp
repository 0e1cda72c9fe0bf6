#include "LibRelay/Configuration.h"

#include <criterion/criterion.h>

using namespace Relay;

static Route makeRoute(const std::string& host, const std::string& prefix)
{
    Route route;
    route.name = host + prefix;
    route.host = host;
    route.pathPrefix = prefix;
    return route;
}

static Configuration makeConfiguration()
{
    Workspace workspace;
    workspace.name = "atelier";
    workspace.keys = { "key-1", "key-2" };
    return Configuration(7, { makeRoute("a.example", "/x/"), makeRoute("a.example", "/x/y/"), makeRoute("b.example", "/") }, {}, { workspace }, true, {});
}

// Guards against routing a request by a shorter prefix, which would send it to another service.
Test(Configuration, longestPrefixWins)
{
    Configuration configuration = makeConfiguration();
    cr_assert_eq(configuration.findRoute("a.example", "/x/y/z")->pathPrefix, "/x/y/");
    cr_assert_eq(configuration.findRoute("a.example", "/x/yz")->pathPrefix, "/x/");
    cr_assert_null(configuration.findRoute("a.example", "/x"));
    cr_assert_null(configuration.findRoute("c.example", "/x/"));
}

// Guards against not finding hosts that are written with a port or in upper case.
Test(Configuration, hostsAreComparedWithoutPortAndCase)
{
    Configuration configuration = makeConfiguration();
    cr_assert_not_null(configuration.findRoute("B.Example:8080", "/anything"));
}

// Guards against finding a workspace with several keys by only one of them.
Test(Configuration, everyKeyIdentifiesItsWorkspace)
{
    Configuration configuration = makeConfiguration();
    cr_assert_eq(configuration.findWorkspace("key-2")->name, "atelier");
    cr_assert_null(configuration.findWorkspace("key-3"));
}
