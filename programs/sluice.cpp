// sluice: the data plane on a machine that callers and minions reach. Stateless. docs/design.md 9.
#include "daemons/sluice_daemon.hpp"
#include "edge/log.hpp"
#include "edge/options.hpp"

using namespace aniseline;

int main(int count, char** values) {
    SluiceSettings settings;
    OptionSet options("sluice", "aniseline's data plane, on every machine that callers and minions reach");
    options.address("http", settings.http, "the address for callers, minions and operators", true);
    options.address("advertise", settings.advertise, "the address at which others reach --http, if another");
    options.text("area", settings.area, "the area of this machine", true);
    options.addresses("seeds", settings.seeds, "peer addresses of reservoirs, for first contact", true);
    options.whole("threads", settings.threads, "threads that serve", 1, 64);
    options.whole("exchanges", settings.exchanges, "exchanges under way at once", 1, 100'000);
    options.flag("quiet", settings.quiet, "no logs");
    options.read(count, values);
    if (settings.advertise.value.empty()) settings.advertise = settings.http;
    Loop::source = ipOf(settings.http);
    startLog("sluice", settings.http.value, settings.quiet);
    return runSluice(std::move(settings));
}
