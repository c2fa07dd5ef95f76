"""Tests that the two worked examples are complete and good."""

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
    """`mimosastile check` on everything that is committed."""

    @pytest.mark.parametrize(
        "file",
        [
            *sorted(EXAMPLES.glob("*/*.toml")),
            *sorted(EXAMPLES.glob("*/configuration.json")),
        ],
        ids=lambda f: f.stem,
    )
    def test_good(self, file, capsys):
        """It says so and ends well."""
        cli.Commands().check(str(file))
        assert "good" in capsys.readouterr().out

    @pytest.mark.parametrize(
        ("text", "named"),
        [
            ("{", "truncated"),
            ('{"services": {"a": {"slots": 0}}}', "services.a.slots"),
            ('{"operators": {"a": {"services": ["x"]}}}', "no service 'x'"),
        ],
    )
    def test_bad_document(self, tmp_path, capsys, text, named):
        """It names file and place and ends with 2."""
        file = tmp_path / "bad.json"
        file.write_text(text)
        with pytest.raises(SystemExit) as ended:
            cli.Commands().check(str(file))
        assert ended.value.code == cli.EXIT_BAD_SETTINGS
        said = capsys.readouterr().err
        assert str(file) in said
        assert named in said


class TestComplete:
    """Documents, lists of VMs and settings fit each other."""

    @pytest.mark.parametrize("name", SIZES)
    def test_targets_and_slots(self, name):
        """Each service has its targets, spread evenly over the zones."""
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
    def test_settings_fit_the_list(self, name):
        """Every zone has settings for its first entry VM, as listed."""
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
        """Neither within nor across the two."""
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
