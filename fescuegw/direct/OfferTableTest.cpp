// Which agents are used despite an ejection.
#include <criterion/criterion.h>

#include "fescuegw/direct/OfferTable.h"

namespace {

using namespace fescuegw;
using namespace fescuegw::direct;

constexpr TimePoint now { std::chrono::hours(1) };
const std::string service = "s";

// Adds an agent that is ejected with `percent`, or accepts tasks if that is 0.
void add(OfferTable& offers, const std::string& name, uint32_t percent)
{
    wire::UpstreamToEntry message;
    message.set_agent(name);
    message.set_incarnation(1);
    message.mutable_offer()->set_service(service);
    message.mutable_offer()->set_accepting(percent == 0);
    message.mutable_offer()->set_ejected_percent(percent);
    offers.onMessage(now, message);
}

std::string namesOf(const std::vector<UsableAgent>& agents)
{
    std::string names;
    for (const auto& it : agents)
        names += it.first->name;
    return names;
}

} // namespace

// Guards against a service whose upstreams are all ejected, for a cause that they share, and that refuses all jobs.
Test(OfferTable, atMostAThirdIsOut)
{
    OfferTable offers;
    add(offers, "a", 60);
    add(offers, "b", 20);
    add(offers, "c", 100);
    add(offers, "d", 30);
    add(offers, "e", 0);
    add(offers, "f", 0);
    const EjectedAgents ejected = offers.ejected(now, service);
    cr_assert_eq(namesOf(ejected.required), "bd");
    cr_assert_eq(namesOf(offers.usable(now, service)), "ef");
}

// Guards against a small service that never ejects anything.
Test(OfferTable, oneMayAlwaysBeOut)
{
    OfferTable offers;
    add(offers, "a", 100);
    add(offers, "b", 0);
    cr_assert(offers.ejected(now, service).required.empty());
}

// Guards against tasks with a further attempt that are refused while an upstream that mostly succeeds has capacity.
Test(OfferTable, thoseThatMostlySucceedAreTolerated)
{
    OfferTable offers;
    add(offers, "a", 30);
    for (const char* it : { "b", "c", "d", "e", "f" })
        add(offers, it, 0);
    add(offers, "g", 90);
    const EjectedAgents ejected = offers.ejected(now, service);
    cr_assert(ejected.required.empty());
    cr_assert_eq(namesOf(ejected.tolerated), "a");
}

// Guards against ejected agents that are used although they have been silent, or belong to another service.
Test(OfferTable, silentAgentsAndOtherServicesDoNotCount)
{
    OfferTable offers;
    add(offers, "a", 30);
    add(offers, "b", 40);
    cr_assert_eq(namesOf(offers.ejected(now, service).required), "a");
    cr_assert(offers.ejected(now, "other").required.empty());
    cr_assert(offers.ejected(now + std::chrono::seconds(5), service).required.empty());
}
