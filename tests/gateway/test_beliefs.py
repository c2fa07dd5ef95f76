"""What a VM comes to believe, whatever of it is lost on the way."""

from mimosastile_core.gateway import configurations
from mimosastile_core.gateway import directory
from mimosastile_core.gateway import routes
from mimosastile_gateway import messages
from mimosastile_standins import virtual
from tests.gateway import fakes


def _news(after, revision, *targets):
    return messages.News(
        after,
        revision,
        tuple(messages.TargetNews(t, t.revision, False, 0.0) for t in targets),
    )


def _known():
    return fakes.known(fakes.VirtualClock(), fakes.Lines(), fakes.target("a"))


def _play(check):
    async def main():
        check(_known())

    virtual.run(main())


class TestNews:
    """News that build on each other."""

    def test_lost_news_are_not_taken_for_known(self):
        """A leader's first message is lost and its second one arrives.

        A target is about to leave, says the first. If the VM claimed to know
        all up to the end of the second one, nobody would ever tell it, and it
        would send requests to that target until it is gone.
        """

        def check(known):
            known.take_news(_news(0, 5))
            known.take_news(_news(7, 9, fakes.target("b", revision=9)))
            assert known.seen == 5
            assert known.directory.get("b")
            leaving = fakes.target("a", leaving=True, revision=6)
            known.take_news(_news(5, 9, leaving))
            assert known.seen == 9
            standing = known.directory.get("a").standing
            assert standing is directory.Standing.LEAVING

        _play(check)

    def test_change_of_another_version(self):
        """A change is told for a version that this VM does not have.

        It is left out, and the next report says which version the VM has.
        """

        def check(known):
            told = configurations.Change(5, 6)
            known.take_news(messages.News(0, 1, change=told))
            assert known.version == 1
            told = configurations.Change(1, 6)
            known.take_news(messages.News(0, 1, change=told))
            assert known.version == 6

        _play(check)

    def test_whoever_is_behind_gets_a_change(self):
        """A VM that knows the version before is told only what differs."""

        def check(known):
            former = known.configuration
            known.take_configuration(routes.Configuration(2, former.routes))
            assert known.news_after(0, 1).change.base == 1
            assert known.news_after(0, -1).configuration.version == 2
            assert known.news_after(0, 2) is None

        _play(check)


class TestConfigurationSeen:
    """Up to where the store is known to hold no newer configuration."""

    def test_other_version_says_nothing(self):
        """A leader that knows another version confirms only that one."""

        def check(known):
            known.confirm_configuration(1, 7)
            known.confirm_configuration(2, 9)
            assert known.configuration_seen == 7

        _play(check)
