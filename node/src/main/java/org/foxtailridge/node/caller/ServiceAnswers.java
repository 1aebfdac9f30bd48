package org.foxtailridge.node.caller;

import java.util.List;
import org.foxtailridge.clients.service.ServiceAnswer;
import org.foxtailridge.execution.claim.CallOutcome;

/** Turns answers of services into outcomes that claims keep, and back. */
final class ServiceAnswers {
    private static final String CONTENT_TYPE = "Content-Type";

    private ServiceAnswers() {}

    static CallOutcome outcomeOf(ServiceAnswer answer) {
        List<CallOutcome.Header> headers =
                answer.contentType() == null
                        ? List.of()
                        : List.of(new CallOutcome.Header(CONTENT_TYPE, answer.contentType()));
        return new CallOutcome.Answered(answer.status(), headers, answer.body());
    }

    static ServiceAnswer from(CallOutcome.Answered outcome) {
        String contentType =
                outcome.headers().stream()
                        .filter(header -> header.name().equals(CONTENT_TYPE))
                        .map(CallOutcome.Header::value)
                        .findFirst()
                        .orElse(null);
        return new ServiceAnswer(outcome.status(), contentType, outcome.body(), false);
    }
}
