package org.sequoiaspindle.cli.protocol;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.sequoiaspindle.cli.coordination.AnswerStreamValidation;
import org.sequoiaspindle.cli.coordination.ResultClassifier;
import org.sequoiaspindle.cli.protocol.InstanceCallResult.CompleteResponse;
import org.sequoiaspindle.cli.protocol.InstanceCallResult.ConnectionLost;
import org.sequoiaspindle.cli.protocol.InstanceCallResult.NotConnected;
import org.sequoiaspindle.cli.state.CommandResult;
import org.sequoiaspindle.cli.state.ExitCode;
import org.sequoiaspindle.cli.state.Report;
import org.sequoiaspindle.cli.state.RequestReport;
import org.sequoiaspindle.cli.state.StreamedToken;

/** Sends one request to a pipeline and validates the answer. */
public final class RequestCommand {

    private RequestCommand() {}

    /**
     * Arguments of a request.
     *
     * @param pipeline name of the pipeline
     * @param input input of the first stage
     * @param maxTokens maximum number of tokens in the answer
     * @param deadlineMs deadline in milliseconds from now; if absent, the deadline of the pipeline
     *     applies
     * @param key idempotency key
     * @param stream whether to stream tokens as they are generated
     */
    public record Arguments(
            String pipeline,
            String input,
            int maxTokens,
            Option<Integer> deadlineMs,
            Option<String> key,
            boolean stream) {}

    /** Sends the request and passes tokens of a streamed answer to the consumer as they arrive. */
    public static CommandResult run(
            InstanceSession session, Arguments arguments, Consumer<StreamedToken> tokens) {
        AtomicReference<StreamState> state = new AtomicReference<>(StreamState.start());
        InstanceCallResult result =
                session.send(
                        request(session, arguments),
                        bytes -> state.set(state.get().feed(bytes, tokens)));
        return toResult(result, state.get().validation());
    }

    private static InstanceRequest request(InstanceSession session, Arguments arguments) {
        Map<String, String> accept =
                LinkedHashMap.of(
                        "Accept", arguments.stream() ? "text/event-stream" : "application/json");
        Map<String, String> headers =
                accept.merge(header("Sequoia-Deadline-Ms", arguments.deadlineMs()))
                        .merge(header("Idempotency-Key", arguments.key()));
        String body =
                JsonNodeFactory.instance
                        .objectNode()
                        .put("input", arguments.input())
                        .put("maxTokens", arguments.maxTokens())
                        .toString();
        return new InstanceRequest(
                "POST",
                "/v1/pipelines/" + arguments.pipeline(),
                headers,
                body,
                session.credential());
    }

    private static Map<String, String> header(String name, Option<?> value) {
        return value.isEmpty()
                ? LinkedHashMap.empty()
                : LinkedHashMap.of(name, value.get().toString());
    }

    private static CommandResult toResult(
            InstanceCallResult result, AnswerStreamValidation validation) {
        if (result instanceof NotConnected notConnected) {
            return CallFailures.unreachable(notConnected);
        }
        if (result instanceof ConnectionLost connectionLost) {
            AnswerStreamValidation finalValidation =
                    validation.atEnd().withViolation("connection lost: " + connectionLost.reason());
            return createResult(
                    finalValidation.outcome(),
                    validation.nextPosition() > 0,
                    finalValidation.violations());
        }
        CompleteResponse response = (CompleteResponse) result;
        if (response.eventStream()) {
            AnswerStreamValidation finalValidation = validation.atEnd();
            return createResult(finalValidation.outcome(), true, finalValidation.violations());
        }
        return InstanceResponseParser.parseRequest(response.body())
                .map(report -> createResult(Option.some(report), false, Vector.empty()))
                .getOrElse(
                        () ->
                                CommandResult.message(
                                        exitCodeWithoutOutcome(response.status()),
                                        CallFailures.describe(response)));
    }

    /**
     * Returns the exit code for a response without an outcome. With the statuses listed here,
     * instances and load balancers reject a request before any stage runs.
     */
    private static ExitCode exitCodeWithoutOutcome(int status) {
        return switch (status) {
            case 400, 401, 403, 404, 405, 413, 415, 429 -> ExitCode.NOT_RUN;
            default -> ExitCode.UNKNOWN;
        };
    }

    private static CommandResult createResult(
            Option<RequestReport> report, boolean streamed, Vector<String> violations) {
        return new CommandResult(
                ResultClassifier.exitCodeOf(report, violations),
                new Report.RequestResult(report, streamed, violations));
    }

    /** Immutable state of reading an event stream, replaced with each chunk. */
    private record StreamState(EventStreamParser parser, AnswerStreamValidation validation) {

        static StreamState start() {
            return new StreamState(EventStreamParser.start(), AnswerStreamValidation.start());
        }

        StreamState feed(byte[] bytes, Consumer<StreamedToken> tokens) {
            EventStreamParser.FeedResult result = parser.feed(bytes);
            return new StreamState(
                    result.parser(),
                    result.events()
                            .foldLeft(
                                    validation,
                                    (current, event) -> accept(current, event, tokens)));
        }

        private static AnswerStreamValidation accept(
                AnswerStreamValidation validation,
                EventStreamParser.Event event,
                Consumer<StreamedToken> tokens) {
            return switch (event.name()) {
                case "token" ->
                        InstanceResponseParser.parseToken(event.data())
                                .peek(tokens)
                                .map(validation::afterToken)
                                .getOrElse(() -> validation.withViolation("malformed token event"));
                case "outcome" ->
                        InstanceResponseParser.parseRequest(event.data())
                                .map(validation::afterOutcome)
                                .getOrElse(
                                        () -> validation.withViolation("malformed outcome event"));
                default -> validation;
            };
        }
    }
}
