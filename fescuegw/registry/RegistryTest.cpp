// Tests of the replicated state: concurrent and repeated changes, claims, ownership, expiry and snapshots.
#include <criterion/criterion.h>

#include "fescuegw/registry/Registry.h"

namespace fescuegw::registry {

namespace {

    wire::CommandResult apply(Registry& registry, const wire::Command& command, uint64_t timeMs = 1)
    {
        wire::CommandBatch batch;
        batch.set_time_ms(timeMs);
        *batch.add_commands() = command;
        return registry.apply(batch).front();
    }

    wire::Command change(const std::string& id, uint64_t version, uint32_t share)
    {
        wire::Command command;
        command.mutable_apply()->set_change_id(id);
        command.mutable_apply()->mutable_configuration()->set_team("mizutama");
        command.mutable_apply()->mutable_configuration()->set_version(version);
        command.mutable_apply()->mutable_configuration()->set_share(share);
        return command;
    }

    wire::Command assign(const std::string& owner, uint64_t epoch)
    {
        wire::Command command;
        command.mutable_assign()->set_service("pondkeep");
        command.mutable_assign()->set_owner(owner);
        command.mutable_assign()->set_epoch(epoch);
        return command;
    }

    wire::Command claim(const std::string& id, const std::string& digest, const std::string& owner, uint64_t epoch)
    {
        wire::Command command;
        wire::Claim& claim = *command.mutable_claim();
        claim.set_team("mizutama");
        claim.set_id(id);
        claim.set_digest(digest);
        claim.set_service("pondkeep");
        claim.set_owner(owner);
        claim.set_epoch(epoch);
        return command;
    }

    wire::Command outcome(const std::string& id, const std::string& owner, uint64_t epoch)
    {
        wire::Command command;
        wire::Outcome& outcome = *command.mutable_outcome();
        outcome.set_team("mizutama");
        outcome.set_id(id);
        outcome.set_service("pondkeep");
        outcome.set_owner(owner);
        outcome.set_epoch(epoch);
        outcome.set_complete(true);
        outcome.add_tasks()->set_output(std::string(100, 'x'));
        return command;
    }

    wire::Command enrolment(uint64_t epoch)
    {
        wire::Command command;
        command.mutable_enrol()->set_service("pondkeep");
        command.mutable_enrol()->set_agent("agent1");
        command.mutable_enrol()->set_incarnation(1);
        command.mutable_enrol()->set_epoch(epoch);
        return command;
    }

} // namespace

Test(registry, oneOfTwoRacingChangesWins)
{
    Registry registry;
    cr_assert_eq(apply(registry, change("a", 1, 2)).code(), wire::ACCEPTED);
    const wire::CommandResult lost = apply(registry, change("b", 1, 3));
    cr_assert_eq(lost.code(), wire::CONFLICT);
    cr_assert(lost.detail().find("change a") != std::string::npos);
    cr_assert_eq(registry.teams().at("mizutama").share(), 2U);
}

Test(registry, repeatedChangeHasItsFirstOutcomeAlsoAfterSnapshot)
{
    Registry registry;
    const wire::CommandResult first = apply(registry, change("a", 1, 2));
    apply(registry, change("b", 2, 3));
    const wire::CommandResult refused = apply(registry, change("c", 2, 4));
    Registry restored;
    restored.restore(registry.capture());
    for (Registry* it : { &registry, &restored }) {
        cr_assert_eq(apply(*it, change("a", 1, 2)).SerializeAsString(), first.SerializeAsString());
        cr_assert_eq(apply(*it, change("c", 2, 4)).SerializeAsString(), refused.SerializeAsString());
        cr_assert_eq(apply(*it, change("a", 3, 9)).code(), wire::CONFLICT, "a change id was used for another change");
        cr_assert_eq(it->configurationVersion(), 2U);
    }
}

Test(registry, claimsBelongToTheCurrentOwner)
{
    Registry registry;
    cr_assert_eq(apply(registry, claim("job", "d", "e1", 1)).code(), wire::STALE_OWNER);
    cr_assert_eq(apply(registry, assign("e1", 1)).code(), wire::ACCEPTED);
    cr_assert_eq(apply(registry, claim("job", "d", "e1", 1)).code(), wire::ACCEPTED);
    cr_assert_eq(apply(registry, claim("job", "d", "e1", 1)).code(), wire::OPEN);
    cr_assert_eq(apply(registry, claim("job", "other", "e1", 1)).code(), wire::CONFLICT);
    cr_assert_eq(apply(registry, assign("e2", 2)).code(), wire::ACCEPTED);
    cr_assert_eq(apply(registry, assign("e3", 2)).code(), wire::CONFLICT);
    cr_assert_eq(apply(registry, claim("job", "d", "e1", 1)).code(), wire::STALE_OWNER);
    cr_assert_eq(apply(registry, outcome("job", "e1", 1)).code(), wire::STALE_OWNER);
    cr_assert_eq(apply(registry, enrolment(1)).code(), wire::STALE_OWNER);
    cr_assert_eq(apply(registry, enrolment(2)).code(), wire::ACCEPTED);
    cr_assert_eq(registry.openClaims("pondkeep").size(), 1U);
    cr_assert_eq(apply(registry, outcome("job", "e2", 2)).code(), wire::ACCEPTED);
    cr_assert_eq(apply(registry, outcome("job", "e2", 2)).code(), wire::FINISHED);
    const wire::CommandResult again = apply(registry, claim("job", "d", "e1", 1));
    cr_assert_eq(again.code(), wire::FINISHED);
    cr_assert_eq(again.outcome().tasks_size(), 1);
}

Test(registry, dropsOldAnswersThenOldClaims)
{
    Limits limits;
    limits.answerBytes = 500;
    limits.retentionMs = 1000;
    Registry registry(limits);
    apply(registry, assign("e1", 1));
    for (int i = 0; i < 10; ++i) {
        const std::string id = "job" + std::to_string(i);
        apply(registry, claim(id, "d", "e1", 1), 1);
        apply(registry, outcome(id, "e1", 1), 1);
    }
    cr_assert_eq(apply(registry, claim("job0", "d", "e1", 1), 2).code(), wire::EXPIRED);
    cr_assert_eq(apply(registry, claim("job9", "d", "e1", 1), 2).code(), wire::FINISHED);
    Registry restored(limits);
    restored.restore(registry.capture());
    for (Registry* it : { &registry, &restored }) {
        cr_assert_eq(apply(*it, claim("job0", "d", "e1", 1), 3).code(), wire::EXPIRED);
        apply(*it, assign("e1", 2), 2000);
        cr_assert_null(it->find({ "mizutama", "job9" }));
        cr_assert_eq(it->capture().size(), registry.capture().size());
    }
}

// An operator repeats orders whose answer was lost; a drain that was acknowledged must be in every snapshot and view.
Test(registry, drainsOfDomainsAreKeptAndRepeatedOrdersChangeNothing)
{
    Limits limits;
    limits.drainedDomains = 2;
    Registry registry(limits);
    const auto order = [&](const std::string& domain, bool drained) {
        wire::Command command;
        command.mutable_set_domain_drain()->set_domain(domain);
        command.mutable_set_domain_drain()->set_drained(drained);
        return apply(registry, command).code();
    };
    cr_assert_eq(order("d1", false), wire::REPEATED);
    cr_assert_eq(registry.revision(), 0U);
    cr_assert_eq(order("d1", true), wire::ACCEPTED);
    cr_assert_eq(order("d1", true), wire::REPEATED);
    cr_assert_eq(registry.revision(), 1U);
    cr_assert_eq(order("d2", true), wire::ACCEPTED);
    cr_assert_eq(order("d3", true), wire::CONFLICT);
    for (const std::string& it : std::vector<std::string> { "", "a/b", std::string(129, 'd') })
        cr_assert_eq(order(it, true), wire::CONFLICT, "%s", it.c_str());
    cr_assert_eq(order(std::string(128, 'd'), false), wire::REPEATED, "the longest name");
    Registry restored(limits);
    restored.restore(registry.capture());
    cr_assert_eq(restored.view().drained_domains_size(), 2);
    cr_assert_eq(restored.view().drained_domains(0), "d1");
    cr_assert_eq(restored.revision(), 2U);
    cr_assert_eq(order("d1", false), wire::ACCEPTED);
    cr_assert_eq(order("d3", true), wire::ACCEPTED);
    cr_assert_eq(registry.view().drained_domains(1), "d3");
}

} // namespace fescuegw::registry
