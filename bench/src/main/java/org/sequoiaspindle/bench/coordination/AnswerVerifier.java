package org.sequoiaspindle.bench.coordination;

import org.sequoiaspindle.bench.state.PlannedRequest;
import org.sequoiaspindle.bench.state.RequestClass;
import org.sequoiaspindle.standins.coordination.ExpectedAnswers;

/** Compares answers with those that the stand-ins return for the same input. */
public final class AnswerVerifier {

    private AnswerVerifier() {}

    /** Whether the answer is the complete answer to this request. */
    public static boolean isCorrect(PlannedRequest request, String answer) {
        return expectedAnswer(request).equals(answer);
    }

    /** The answer that the stages of the request's pipeline produce in sequence. */
    public static String expectedAnswer(PlannedRequest request) {
        if (request.requestClass() == RequestClass.PAYMENT) {
            return ExpectedAnswers.output("pay", request.input());
        }
        String encoded = ExpectedAnswers.output("encode", request.input());
        String retrieved = ExpectedAnswers.output("retrieve", encoded);
        String ranked = ExpectedAnswers.output("rerank", retrieved);
        return ExpectedAnswers.answer(ranked, request.maxTokens());
    }
}
