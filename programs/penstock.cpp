// penstock: the agent beside one minion that is called rather than calls. docs/design.md 5.8, docs/api.md 5.
#include "edge/log.hpp"
#include "edge/minion_words.hpp"
#include "edge/options.hpp"

using namespace aniseline;

int main(int count, char** values) {
    PenstockSettings settings;
    std::string from;
    std::int64_t longestHold = settings.options.longestHold.milliseconds;
    OptionSet options("penstock", "aniseline's agent beside a minion that is called rather than calls");
    options.address("listen", settings.listen, "where the minion makes itself known", true);
    options.address("minion", settings.minion, "where the minion is called", true);
    options.text("area", settings.area, "the area of this machine", true);
    options.addresses("seeds", settings.seeds, "peer addresses of reservoirs, for first contact", true);
    options.text("from", from, "the IP number to connect from, on a machine with several");
    options.whole("longest-hold-ms", longestHold, "the longest hold that the minion grants", 500, 600'000);
    options.flag("quiet", settings.quiet, "no logs");
    options.read(count, values);
    settings.options.longestHold = Span{longestHold};
    settings.words = minionWords();
    Loop::source = from.empty() ? ipOf(settings.listen) : from;
    startLog("penstock", settings.listen.value, settings.quiet);
    return runPenstock(std::move(settings));
}
