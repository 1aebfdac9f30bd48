package org.foxtailridge.membership.probe;

import java.util.Optional;
import org.foxtailridge.core.name.DataCentreName;
import org.foxtailridge.core.name.Names;
import org.foxtailridge.core.name.NodeName;
import org.foxtailridge.protocol.membership.MemberState;
import org.foxtailridge.protocol.membership.MemberUpdate;

/** Converts members to and from {@link MemberUpdate} messages. */
final class MemberUpdateCodec {
    private MemberUpdateCodec() {}

    static MemberUpdate write(Member member) {
        return MemberUpdate.newBuilder()
                .setNode(member.node().value())
                .setDataCentre(member.dataCentre().value())
                .setIncarnation(member.incarnation())
                .setRefutation(member.refutation())
                .setState(member.state())
                .build();
    }

    /** Reads a member; returns empty when a name, the state or the incarnation is invalid. */
    static Optional<Member> read(MemberUpdate update) {
        boolean named = Names.isName(update.getNode()) && Names.isName(update.getDataCentre());
        boolean known =
                update.getState() != MemberState.UNRECOGNIZED
                        && update.getState() != MemberState.MEMBER_STATE_UNSPECIFIED;
        if (!named || !known || update.getIncarnation() < 1) {
            return Optional.empty();
        }
        return Optional.of(
                new Member(
                        NodeName.of(update.getNode()),
                        DataCentreName.of(update.getDataCentre()),
                        update.getIncarnation(),
                        update.getRefutation(),
                        update.getState()));
    }
}
