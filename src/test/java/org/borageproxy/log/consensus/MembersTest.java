package org.borageproxy.log.consensus;

import java.util.List;
import java.util.Set;

import org.borageproxy.vm.VmName;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

class MembersTest {

    private static final MemberId FIRST = new MemberId(new VmName("vm-1"), 7);
    private static final MemberId SECOND = new MemberId(new VmName("vm-2"), 8);
    private static final MemberId SECOND_AFTER_LOSS = new MemberId(new VmName("vm-2"), 9);

    @Test
    void nameOfVmRefersToItsOnlyCandidate() {
        Members members = new Members(Set.of(FIRST, SECOND), Set.of(SECOND_AFTER_LOSS));
        assertEquals(FIRST, Members.resolve("vm-1", members.all()));
        assertEquals(SECOND_AFTER_LOSS, Members.resolve("vm-2", members.learners()));
        assertEquals(SECOND, Members.resolve(SECOND.toString(), members.all()));
    }

    @Test
    void nameOfVmWithNoOrSeveralCandidatesIsRejected() {
        List<MemberId> candidates = List.of(FIRST, SECOND, SECOND_AFTER_LOSS);
        assertThrows(IllegalArgumentException.class, () -> Members.resolve("vm-2", candidates));
        assertThrows(IllegalArgumentException.class, () -> Members.resolve("vm-3", candidates));
    }
}
