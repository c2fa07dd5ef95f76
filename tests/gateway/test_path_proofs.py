"""Tests of the choice of VMs that are asked to replace a leader."""

import pytest

from mimosastile_core.gateway import path_proofs

_CANDIDATES = [
    path_proofs.Candidate(f"vm-{number}", f"zone-{number // 30}")
    for number in range(90)
]


class TestNeededProof:
    """What a successor has to prove."""

    @pytest.mark.parametrize(
        ("isolated", "owners", "proof"),
        [
            ([], [], None),
            ([], ["a"], None),
            ([], ["b", "a"], path_proofs.PathProof((), ("a", "b"))),
            (["t", "s"], ["a"], path_proofs.PathProof(("s", "t"))),
            ([], list("fedcba"), path_proofs.PathProof((), tuple("abcd"))),
        ],
        ids=["none", "one owner", "owners", "services", "many owners"],
    )
    def test_lacks(self, isolated, owners, proof):
        """Guards against leaders replaced for one target."""
        assert path_proofs.needed_proof(isolated, owners) == proof

    @pytest.mark.parametrize(
        ("services", "unreached", "leads"),
        [
            (("s",), [], True),
            (("s",), ["s"], False),
            (("s",), ["t"], False),
            (("s", "t"), ["t"], True),
            ((), [], True),
            ((), ["s"], False),
        ],
    )
    def test_suffices(self, services, unreached, leads):
        """Guards against VMs that replace each other for ever."""
        proof = path_proofs.PathProof(services)
        assert path_proofs.suffices(proof, unreached) is leads


class TestPathSuccessors:
    """The VMs that are asked."""

    def test_rounds(self):
        """Guards against a cut zone whose VMs are asked one after the other."""
        successors = path_proofs.PathSuccessors()
        first = successors.next(_CANDIDATES, 0.0)
        assert first[:4] == ("vm-0", "vm-30", "vm-60", "vm-1")
        assert len(first) == 8
        assert successors.next(_CANDIDATES, 0.3) == ()
        second = successors.next(_CANDIDATES, 0.4)
        assert len(second) == 24
        assert not set(first) & set(second)
        successors.next(_CANDIDATES, 0.9)
        assert len(successors.asked) == len(_CANDIDATES)

    def test_all_asked(self):
        """Guards against requests without end, and against none at all."""
        successors = path_proofs.PathSuccessors()
        assert successors.next(_CANDIDATES[:3], 0.0)
        assert not successors.next(_CANDIDATES[:3], 1.0)
        assert successors.next(_CANDIDATES[:3], 2.0)

    def test_regained_path(self):
        """Guards against a wait for a VM that has regained its path."""
        successors = path_proofs.PathSuccessors()
        assert successors.next(_CANDIDATES[:2], 0.0)
        assert not successors.next([], 0.5)
        assert successors.next(_CANDIDATES[:1], 1.0) == ("vm-0",)
