// Tests of AnnouncementBook.
#include <criterion/criterion.h>

#include "fescuegw/arbiter/AnnouncementBook.h"

namespace {

using namespace fescuegw;
using namespace fescuegw::arbiter;

constexpr uint64_t born = 100;

Announcement announcement(const std::string& instance, const std::string& service, uint64_t sequence, uint64_t bornMs = born)
{
    Announcement it;
    it.instance = instance;
    it.service = service;
    it.bornMs = bornMs;
    it.sequence = sequence;
    return it;
}

} // namespace

// Another writer copies name and time of birth, and its sequence number hides those of the process itself.
Test(AnnouncementBook, theSequenceOfAnotherWriterDoesNotOutdateTheProcess)
{
    AnnouncementBook book;
    cr_assert(book.add(announcement("i-1", "other", 1U << 20U)) == AnnouncementBook::Outcome::New);
    cr_assert(book.add(announcement("i-1", "s", 1)) == AnnouncementBook::Outcome::New);
    cr_assert_eq(book.find(born)->announcement.service, "s", "the latest one of those that have announced once");
    cr_assert(book.add(announcement("i-1", "s", 1)) == AnnouncementBook::Outcome::Outdated);
    cr_assert(book.add(announcement("i-1", "s", 2)) == AnnouncementBook::Outcome::Renewed);
    cr_assert(book.add(announcement("i-1", "third", 1U << 20U)) == AnnouncementBook::Outcome::New);
    cr_assert_eq(book.find(born)->announcement.service, "s", "the one that has announced more often");
    cr_assert_eq(book.find(born)->announcement.sequence, 2U);
}

Test(AnnouncementBook, aNameThatItsProcessRefusesIsUsedLast)
{
    AnnouncementBook book;
    book.add(announcement("i-1", "s", 1));
    book.add(announcement("i-2", "s", 1));
    cr_assert_eq(book.find(born)->announcement.instance, "i-2");
    book.refuseName(born, "i-2");
    cr_assert_eq(book.find(born)->announcement.instance, "i-1");
    book.refuseName(born, "i-1");
    cr_assert_not_null(book.find(born));
}

Test(AnnouncementBook, anEndedProcessIsNotFound)
{
    AnnouncementBook book;
    book.add(announcement("i-1", "s", 1));
    book.endProcess(born);
    cr_assert_null(book.find(born));
    cr_assert(book.add(announcement("i-1", "s", 2)) == AnnouncementBook::Outcome::Outdated);
    cr_assert_null(book.find(born));
}

Test(AnnouncementBook, aDepartureHoldsUntilTheProcessAnnouncesItselfAgain)
{
    AnnouncementBook book;
    book.add(announcement("i-1", "s", 1));
    book.depart("i-2");
    cr_assert_not(book.find(born)->departed);
    book.depart("i-1");
    cr_assert(book.find(born)->departed);
    Announcement leaving = announcement("i-1", "s", 2);
    leaving.leaving = true;
    book.add(leaving);
    cr_assert(book.find(born)->departed);
    book.add(announcement("i-1", "s", 3));
    cr_assert_not(book.find(born)->departed);
}

// Announcements of any number of writers take bounded memory, and one that announces itself again is not forgotten.
Test(AnnouncementBook, sendersAreForgottenInTheOrderOfTheirLastAnnouncements)
{
    AnnouncementBook book;
    for (uint64_t n = 1; n <= 1000; ++n) {
        book.add(announcement("i-1", "s", n));
        book.add(announcement("x-" + std::to_string(n), "other", 1, born + n));
    }
    cr_assert_eq(book.find(born)->announcement.sequence, 1000U);
    cr_assert_null(book.find(born + 1));
    cr_assert_not_null(book.find(born + 1000));
}
