package org.borageproxy.log;

import java.util.Optional;
import java.util.Set;

import org.borageproxy.log.consensus.MemberId;
import org.borageproxy.log.consensus.Members;
import org.borageproxy.log.consensus.Role;

/**
 * What a member of the control group knows of itself and the group. Immutable and thread safe.
 *
 * @param self the member
 * @param role the role
 * @param term the current term
 * @param commitIndex the last index known to be committed
 * @param leader the leader, if known
 * @param members the members in force
 * @param responsiveMembers the members that answered this leader within its lease; empty on others
 */
public record MemberStatus(
        MemberId self,
        Role role,
        long term,
        long commitIndex,
        Optional<MemberId> leader,
        Members members,
        Set<MemberId> responsiveMembers) {}
