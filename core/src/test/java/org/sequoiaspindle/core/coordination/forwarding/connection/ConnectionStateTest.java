package org.sequoiaspindle.core.coordination.forwarding.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.coordination.forwarding.connection.ConnectionState.BodyEnd;
import org.sequoiaspindle.core.coordination.forwarding.connection.ConnectionState.Decision;
import org.sequoiaspindle.core.coordination.forwarding.connection.ConnectionState.Transition;

/** Guards against responses given to the wrong request and connections used once too often. */
final class ConnectionStateTest {

    /** Naive model: keeps all that has happened, and decides anew from it each time. */
    private static final class Model {

        private final List<Optional<String>> carried = new ArrayList<>();
        private boolean bytesAreOwn;
        private boolean ownHeadAllowsReuse;
        private boolean written;
        private boolean broken;

        Decision ownerOf(Optional<String> named) {
            Optional<String> expected = carried.get(carried.size() - 1);
            if (expected.isEmpty() || named.equals(expected)) {
                return Decision.USE;
            }
            if (named.isPresent()) {
                return Decision.DISCARD;
            }
            return carried.size() == 1 ? Decision.USE : Decision.FAIL;
        }

        boolean mayCarryAnother(boolean certainlyOwn) {
            long identified = carried.stream().flatMap(Optional::stream).distinct().count();
            return certainlyOwn
                    && bytesAreOwn
                    && ownHeadAllowsReuse
                    && written
                    && !broken
                    && identified < ConnectionState.MAX_IDENTIFIED_REQUESTS;
        }
    }

    private final Model model = new Model();
    private ConnectionState state = ConnectionState.NEW;

    @Property(seed = "38", tries = 2_000)
    void decisionsAreThoseOfAModelThatKeepsAllEvents(@ForAll long seed) {
        Random random = new Random(seed);
        ConnectionStateTest test = new ConnectionStateTest();
        for (int number = 0; number < 6 && test.state.isIdle(); number++) {
            test.playRequest(random, number);
        }
        assertEquals(test.state.isIdle(), !test.model.broken);
    }

    private void playRequest(Random random, int number) {
        Optional<String> id =
                random.nextInt(5) == 0 ? Optional.empty() : Optional.of("id" + number);
        boolean bodiless = random.nextInt(5) == 0;
        state = state.sent(id, bodiless);
        model.carried.add(id);
        model.written = random.nextInt(5) > 0;
        if (model.written) {
            state = state.written();
        }
        while (state.isWithinRequest()) {
            playResponse(random, number, bodiless);
        }
    }

    private void playResponse(Random random, int number, boolean bodiless) {
        if (random.nextInt(8) == 0) {
            expect(Decision.FAIL, state.failed());
            model.broken = true;
            return;
        }
        if (random.nextInt(6) == 0) {
            expect(Decision.DISCARD, state.interimHeadReceived());
            expect(Decision.DISCARD, state.responseEnded(true));
            return;
        }
        Optional<String> named =
                random.nextInt(4) == 0
                        ? Optional.empty()
                        : Optional.of("id" + Math.max(0, number - random.nextInt(2)));
        Decision owner = model.ownerOf(named);
        assertEquals(owner, state.ownerOf(named));
        BodyEnd bodyEnd = BodyEnd.values()[Math.max(0, random.nextInt(6) - 3)];
        boolean keepAlive = random.nextInt(4) > 0;
        boolean unusable =
                owner == Decision.FAIL
                        || bodyEnd == BodyEnd.UNCLEAR
                        || (owner == Decision.DISCARD && bodyEnd == BodyEnd.CONNECTION_CLOSE);
        expect(unusable ? Decision.FAIL : owner, state.headReceived(owner, bodyEnd, keepAlive));
        if (unusable) {
            model.broken = true;
            return;
        }
        model.bytesAreOwn = owner == Decision.USE;
        model.ownHeadAllowsReuse = keepAlive && bodyEnd == BodyEnd.DELIMITED && !bodiless;
        expect(owner, state.bodyReceived(random.nextInt(100)));
        expect(Decision.USE, state.readEnded(true));
        playEnd(random, owner);
    }

    private void playEnd(Random random, Decision owner) {
        boolean certainlyOwn = random.nextInt(4) > 0;
        if (owner == Decision.DISCARD) {
            expect(Decision.DISCARD, state.responseEnded(certainlyOwn));
            return;
        }
        boolean isKept = model.mayCarryAnother(certainlyOwn);
        expect(isKept ? Decision.KEEP : Decision.CLOSE, state.responseEnded(certainlyOwn));
        assertFalse(state.isIdle(), "more bytes may follow in the same read");
        model.broken = !isKept || random.nextInt(3) == 0;
        expect(model.broken ? Decision.CLOSE : Decision.KEEP, state.readEnded(model.broken));
        if (!model.broken && random.nextInt(4) == 0) {
            expect(Decision.CLOSE, state.readEnded(true));
            model.broken = true;
        }
    }

    private void expect(Decision expected, Transition transition) {
        assertEquals(expected, transition.decision());
        state = transition.next();
    }

    @Test
    void bytesOfOtherResponsesAreDiscardedUpToALimit() {
        state = state.sent(Optional.of("own"), false);
        expect(Decision.DISCARD, state.headReceived(Decision.DISCARD, BodyEnd.DELIMITED, true));
        expect(Decision.DISCARD, state.bodyReceived(ConnectionState.MAX_DISCARDED_BYTES));
        expect(Decision.FAIL, state.bodyReceived(1));
    }

    @Test
    void connectionIsNotUsedAgainAfterTheMaximumNumberOfIdentifiedRequests() {
        for (int number = 0; number < ConnectionState.MAX_IDENTIFIED_REQUESTS; number++) {
            assertTrue(state.isIdle());
            state = state.sent(Optional.of("id" + number), false).written();
            state = state.headReceived(Decision.USE, BodyEnd.DELIMITED, true).next();
            state = state.responseEnded(true).next();
            state = state.readEnded(false).next();
        }
        assertFalse(state.isIdle());
    }
}
