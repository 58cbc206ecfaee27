package org.sequoiaspindle.core.protocol.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.protocol.store.StoreChange;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;
import org.sequoiaspindle.core.protocol.store.StoreValue;

/** Guards against reads that arrive changed, and against frames that stop an instance. */
final class RelayMessageCodecTest {

    private static final StoreChange.Written WRITTEN =
            new StoreChange.Written("servers/a", StoreValue.ofString("{}"), 7);

    private static final List<RelayMessage> MESSAGES =
            List.of(
                    new RelayMessage.Query(1, new StoreCommand.ReadNewer("op/config", 42)),
                    new RelayMessage.Query(2, new StoreCommand.ListItems("servers/", "servers/a")),
                    new RelayMessage.Query(3, new StoreCommand.AwaitChanges("", 9, 10_000)),
                    new RelayMessage.Reply(4, new StoreResult.Listed(Vector.of(WRITTEN), true, 12)),
                    new RelayMessage.Reply(
                            5,
                            new StoreResult.Changed(
                                    Vector.of(WRITTEN, new StoreChange.Removed("servers/b", 8)),
                                    8)),
                    new RelayMessage.Reply(6, new StoreResult.HistoryLost()));

    @Test
    void messagesArriveAsTheyWereSent() {
        for (RelayMessage message : MESSAGES) {
            assertEquals(
                    Either.right(message),
                    RelayMessageCodec.decode(RelayMessageCodec.encode(message)));
        }
    }

    @Test
    void failureOfAReaderArrivesAsAFailure() {
        RelayMessage reply = new RelayMessage.Reply(1, new StoreResult.Unavailable("cut off"));
        RelayMessage decoded = RelayMessageCodec.decode(RelayMessageCodec.encode(reply)).get();
        assertTrue(
                decoded instanceof RelayMessage.Reply received
                        && received.result() instanceof StoreResult.Unavailable);
    }

    @Property(seed = "20261204", tries = 2_000)
    void malformedFrameIsReportedAndNotThrown(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] frame = RelayMessageCodec.encode(MESSAGES.get(random.nextInt(MESSAGES.size())));
        for (int change = 0; change <= random.nextInt(4); change++) {
            frame[random.nextInt(frame.length)] = (byte) random.nextInt();
        }
        RelayMessageCodec.decode(frame);
    }
}
