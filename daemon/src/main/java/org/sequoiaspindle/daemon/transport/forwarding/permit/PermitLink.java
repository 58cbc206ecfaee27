package org.sequoiaspindle.daemon.transport.forwarding.permit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.protocol.forwarding.PermitReply;
import org.sequoiaspindle.core.protocol.forwarding.PieceMessage;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.daemon.transport.forwarding.piece.PieceFrames;
import org.sequoiaspindle.daemon.transport.frame.FrameClient;

/** Asks one other instance for permits. Confined to the event loop of the link. */
final class PermitLink {

    /** Time without any message after which a connection with open questions is closed. */
    private static final long SILENCE_TIMEOUT_MS = 700;

    /** A question without an answer so far. */
    private record Question(String replica, CompletableFuture<PermitReply> answer) {}

    private final HostPort address;
    private final EventLoop loop;
    private final MillisClock clock;
    private final Map<Long, Question> questions = new HashMap<>();
    private Channel channel;
    private boolean connecting;
    private long nextNumber;
    private long silentSince;

    PermitLink(HostPort address, EventLoop loop, MillisClock clock) {
        this.address = address;
        this.loop = loop;
        this.clock = clock;
    }

    /** Asks for a permit; without a connection the question is sent once there is one. */
    void ask(String replica, CompletableFuture<PermitReply> answer) {
        dropAnswered();
        if (questions.isEmpty()) {
            silentSince = clock.now();
        } else if (channel != null && clock.now() - silentSince > SILENCE_TIMEOUT_MS) {
            channel.close();
        }
        long number = nextNumber++;
        Question question = new Question(replica, answer);
        questions.put(number, question);
        if (channel != null) {
            send(number, question);
        } else if (!connecting) {
            connect();
        }
    }

    /** Closes the connection to a peer that is not registered any more. */
    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    /** Questions that the caller has given up are not sent, but wait for a sign of the peer. */
    private void dropAnswered() {
        if (channel == null) {
            questions.values().removeIf(question -> question.answer().isDone());
        }
    }

    private void send(long number, Question question) {
        if (!question.answer().isDone()) {
            PieceFrames.send(channel, new PieceMessage.PermitRequest(number, question.replica()));
        }
    }

    private void connect() {
        connecting = true;
        ChannelFuture future =
                FrameClient.connect(
                        loop, address, PieceFrames.FORMAT, this::received, this::closed);
        future.addListener(
                done -> {
                    connecting = false;
                    if (done.isSuccess()) {
                        channel = future.channel();
                        silentSince = clock.now();
                        Map.copyOf(questions).forEach(this::send);
                    } else {
                        refuseAll();
                    }
                });
    }

    private void received(PieceMessage message) {
        silentSince = clock.now();
        if (message instanceof PieceMessage.PermitAnswer answer) {
            Question question = questions.remove(answer.number());
            if (question != null) {
                question.answer().complete(answer.reply());
            }
        }
    }

    private void closed(Channel closedChannel) {
        if (closedChannel == channel) {
            channel = null;
            refuseAll();
        }
    }

    private void refuseAll() {
        List<Question> open = List.copyOf(questions.values());
        questions.clear();
        open.forEach(question -> question.answer().complete(PermitReply.NOT_ISSUER));
    }
}
