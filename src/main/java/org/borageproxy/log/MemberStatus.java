package org.borageproxy.log;

import java.util.Optional;
import java.util.Set;

import org.borageproxy.log.consensus.MemberId;
import org.borageproxy.log.consensus.Members;
import org.borageproxy.log.consensus.Role;

/**
 * A member's view of itself and the control group. Immutable and thread safe.
 *
 * @param self the identity of the member
 * @param role the role in the current term
 * @param term the current term
 * @param commitIndex the highest index known to the member to be committed
 * @param leader the leader of the current term, if known
 * @param members the members in force, as of the last entry in the member's log
 * @param responsiveMembers this member and those that answered it within the lease duration if it leads; empty
 *     otherwise
 * @param upToDateMembers the responsive members, other than this one, that hold all committed entries if it leads;
 *     empty otherwise
 */
public record MemberStatus(
        MemberId self,
        Role role,
        long term,
        long commitIndex,
        Optional<MemberId> leader,
        Members members,
        Set<MemberId> responsiveMembers,
        Set<MemberId> upToDateMembers) {

    /** Returns the status of the same member after it has stopped: it neither leads nor follows a leader. */
    MemberStatus afterStop() {
        return new MemberStatus(self, Role.FOLLOWER, term, commitIndex, Optional.empty(), members, Set.of(), Set.of());
    }
}
