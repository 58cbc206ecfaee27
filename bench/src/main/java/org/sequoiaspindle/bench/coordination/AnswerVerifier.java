package org.sequoiaspindle.bench.coordination;

import org.sequoiaspindle.bench.state.PlannedRequest;
import org.sequoiaspindle.bench.state.RequestClass;
import org.sequoiaspindle.standins.coordination.ExpectedAnswers;

/** Compares answers with the answers that the stand-ins compute from the same input. */
public final class AnswerVerifier {

    private AnswerVerifier() {}

    /** Returns true if the answer is the complete answer to the request. */
    public static boolean isCorrect(PlannedRequest request, String answer) {
        return expectedAnswer(request).equals(answer);
    }

    /** Computes the answer by applying the stages of the pipeline in sequence. */
    public static String expectedAnswer(PlannedRequest request) {
        if (request.requestClass() == RequestClass.PAYMENT) {
            return ExpectedAnswers.output("pay", request.input());
        }
        String encoderOutput = ExpectedAnswers.output("encode", request.input());
        String retrieverOutput = ExpectedAnswers.output("retrieve", encoderOutput);
        String rerankerOutput = ExpectedAnswers.output("rerank", retrieverOutput);
        return ExpectedAnswers.answer(rerankerOutput, request.maxTokens());
    }
}
