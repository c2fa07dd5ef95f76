"""Tests that the two example deployments are complete and valid."""

import collections
import itertools
import pathlib

import msgspec
import pytest

from mimosastile_core import config
from mimosastile_core import fleet
from mimosastile_entry import cli
from mimosastile_entry import settings

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
SIZES = {
    "urednistvo": (4, {"citaonica": 18, "prijemnica": 10, "arhivar": 8}),
    "consortium": (2, {"catchbook": 20, "tagmint": 11, "dockpack": 8}),
}
_VMS = msgspec.json.Decoder(tuple[fleet.Vm, ...])


def _document(name):
    file = EXAMPLES / name / "configuration.json"
    return config.decode_document(file.read_bytes()).unwrap()


def _vms(name):
    return _VMS.decode((EXAMPLES / name / "vms.json").read_bytes())


class TestCheck:
    """`mimosastile check` on all committed examples."""

    @pytest.mark.parametrize(
        "file",
        [
            *sorted(EXAMPLES.glob("*/*.toml")),
            *sorted(EXAMPLES.glob("*/configuration.json")),
        ],
        ids=lambda f: f.stem,
    )
    def test_good(self, file, capsys):
        """A valid file is reported as good."""
        cli.Commands().check(str(file))
        assert "good" in capsys.readouterr().out

    @pytest.mark.parametrize(
        ("text", "expected"),
        [
            ("{", "truncated"),
            ('{"services": {"a": {"slots": 0}}}', "services.a.slots"),
            ('{"operators": {"a": {"services": ["x"]}}}', "no service 'x'"),
        ],
    )
    def test_bad_document(self, tmp_path, capsys, text, expected):
        """The error names file and field; the exit code is 2."""
        file = tmp_path / "bad.json"
        file.write_text(text)
        with pytest.raises(SystemExit) as exited:
            cli.Commands().check(str(file))
        assert exited.value.code == cli.EXIT_BAD_SETTINGS
        message = capsys.readouterr().err
        assert str(file) in message
        assert expected in message


class TestComplete:
    """Documents, lists of VMs and settings are consistent."""

    @pytest.mark.parametrize("name", SIZES)
    def test_targets_and_slots(self, name):
        """The targets of each service are spread evenly over the zones."""
        slots, sizes = SIZES[name]
        document, vms = _document(name), _vms(name)
        targets = [vm for vm in vms if vm.role is fleet.Role.TARGET]
        assert collections.Counter(t.service for t in targets) == sizes
        assert {s.slots for s in document.services.values()} == {slots}
        assert set(document.services) == set(sizes)
        for service in sizes:
            zones = collections.Counter(
                t.zone for t in targets if t.service == service
            )
            assert max(zones.values()) - min(zones.values()) <= 1

    @pytest.mark.parametrize("name", SIZES)
    def test_settings_match_the_list(self, name):
        """The settings of each zone match its first entry VM in the list."""
        listed = {vm.id: vm for vm in _vms(name)}
        files = sorted((EXAMPLES / name).glob("*.toml"))
        loaded = [settings.load(file).unwrap().vm for file in files]
        for vm in loaded:
            assert listed[vm.id].host == vm.host
            assert listed[vm.id].zone == vm.zone
            assert listed[vm.id].port == vm.peer_port
        entries = [v for v in listed.values() if v.role is fleet.Role.ENTRY]
        assert {v.zone for v in loaded} == {v.zone for v in entries}
        assert len(entries) == 11

    def test_no_address_or_credential_is_used_twice(self):
        """No duplicates exist within or across the examples."""
        hosts = [vm.host for name in SIZES for vm in _vms(name)]
        digests = [
            digest
            for name in SIZES
            for holder in itertools.chain(
                _document(name).members.values(),
                _document(name).operators.values(),
            )
            for digest in getattr(holder, "credentials", ())
            or getattr(holder, "tokens", ())
        ]
        assert len(hosts) == len(set(hosts))
        assert len(digests) == len(set(digests))
