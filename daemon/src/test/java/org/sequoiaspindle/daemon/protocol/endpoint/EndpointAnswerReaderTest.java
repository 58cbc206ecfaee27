package org.sequoiaspindle.daemon.protocol.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCall;
import org.sequoiaspindle.core.protocol.endpoint.Token;
import org.sequoiaspindle.core.protocol.endpoint.TokenSink;
import org.sequoiaspindle.core.state.RequestId;
import org.sequoiaspindle.core.state.SizeClass;

/**
 * Guards against a reader that throws an exception on malformed streams, or that reports a stream
 * with missing tokens as completed.
 */
final class EndpointAnswerReaderTest {

    private static final String END =
            "event: end\ndata: {\"tokens\":%d,\"requestId\":\"r\",\"attempt\":1}\n\n";

    @Property(seed = "4713", tries = 2000)
    void anyByteSequenceYieldsAResultWithoutAnException(
            @ForAll byte[] bytes, @ForAll @IntRange(min = 200, max = 599) int status) {
        for (String type : new String[] {"text/event-stream", "application/json"}) {
            EndpointAnswerReader reader =
                    new EndpointAnswerReader(call(type.startsWith("text"), 0), TokenSink.DISCARD);
            CallResult result =
                    reader.readHead(status, false, type)
                            .orElse(() -> reader.readBody(bytes))
                            .getOrElse(reader::endOfBody);
            assertTrue(
                    status >= 400
                            ? result instanceof CallResult.Failed
                            : result instanceof CallResult.Unknown,
                    result::toString);
        }
    }

    @Property(seed = "4714", tries = 2000)
    void streamIsCompletedOnlyWithTheNumberOfTokensThatWereDelivered(
            @ForAll("fragments") List<String> fragments,
            @ForAll @IntRange(min = 1, max = 40) int chunkLength,
            @ForAll @IntRange(min = 0, max = 3) int resumeFrom) {
        List<Token> deliveredTokens = new ArrayList<>();
        EndpointAnswerReader reader =
                new EndpointAnswerReader(call(true, resumeFrom), deliveredTokens::add);
        Option<CallResult> result = reader.readHead(200, false, "text/event-stream");
        byte[] bytes = String.join("", fragments).getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < bytes.length && result.isEmpty(); i += chunkLength) {
            result =
                    reader.readBody(
                            Arrays.copyOfRange(bytes, i, Math.min(bytes.length, i + chunkLength)));
        }
        if (result.getOrElse(reader::endOfBody) instanceof CallResult.Completed completed) {
            assertEquals(resumeFrom + deliveredTokens.size(), completed.tokens());
        }
    }

    @Property(seed = "4715", tries = 300)
    void completeStreamIsCompletedForAnyChunkLength(
            @ForAll @IntRange(min = 1, max = 60) int chunkLength,
            @ForAll @IntRange(min = 0, max = 20) int tokens,
            @ForAll("lineEnds") String lineEnd) {
        StringBuilder stream = new StringBuilder("\uFEFF: comment\n\n");
        for (int i = 0; i < tokens; i++) {
            stream.append("id: 4\nevent: token\ndata: {\"position\":").append(i);
            stream.append(",\ndata:\"text\":\"é€😀\"}\n\n");
        }
        stream.append(String.format(END, tokens));
        byte[] bytes = stream.toString().replace("\n", lineEnd).getBytes(StandardCharsets.UTF_8);
        List<Token> deliveredTokens = new ArrayList<>();
        EndpointAnswerReader reader = new EndpointAnswerReader(call(true, 0), deliveredTokens::add);
        Option<CallResult> result = reader.readHead(200, false, "text/event-stream");
        // The carriage return of a CRLF already ends the line. If the line end is CRLF, the reader
        // has the result before the last line feed, which need not be read.
        for (int i = 0; i < bytes.length - lineEnd.length() + 1; i += chunkLength) {
            assertTrue(result.isEmpty());
            result =
                    reader.readBody(
                            Arrays.copyOfRange(bytes, i, Math.min(bytes.length, i + chunkLength)));
        }
        assertInstanceOf(CallResult.Completed.class, result.getOrNull());
        assertEquals(
                Vector.range(0, tokens).map(i -> new Token(i, "é€😀")),
                Vector.ofAll(deliveredTokens));
    }

    @Test
    void interruptedResponseWithARefusalInItsHeadersStaysRefused() {
        EndpointAnswerReader reader = new EndpointAnswerReader(call(true, 0), TokenSink.DISCARD);
        assertTrue(reader.readHead(503, true, "").isEmpty());
        assertInstanceOf(CallResult.Refused.class, reader.incompleteResult("connection closed"));
    }

    @Test
    void refusalHeaderWithAnotherStatusIsNoRefusal() {
        EndpointAnswerReader reader = new EndpointAnswerReader(call(true, 0), TokenSink.DISCARD);
        assertTrue(reader.readHead(500, true, "").isEmpty());
        assertInstanceOf(CallResult.Failed.class, reader.endOfBody());
    }

    @Provide
    Arbitrary<List<String>> fragments() {
        return Arbitraries.of(
                        "event: token\ndata: {\"position\":0,\"text\":\"a\"}\n\n",
                        "event: token\ndata: {\"position\":1,\"text\":\"b\"}\n\n",
                        "event: token\ndata: {\"position\":1}\n\n",
                        String.format(END, 0),
                        String.format(END, 1),
                        String.format(END, 3),
                        String.format(END, -1),
                        "event: end\ndata: {\"tokens\":1.0,\"requestId\":\"r\",\"attempt\":1}\n\n",
                        "data: x\n",
                        "event: end\n",
                        ":\n\n",
                        "\r")
                .list()
                .ofMaxSize(6);
    }

    @Provide
    Arbitrary<String> lineEnds() {
        return Arbitraries.of("\n", "\r\n", "\r");
    }

    private static EndpointCall call(boolean streams, long resumeFrom) {
        return new EndpointCall(
                new RequestId("r"),
                "acme",
                "generate",
                1,
                "e1",
                "127.0.0.1:1",
                "",
                10,
                resumeFrom,
                "",
                SizeClass.SHORT,
                streams,
                1000,
                "");
    }
}
