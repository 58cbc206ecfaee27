package org.sequoiaspindle.core.protocol.publication;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreReader;
import org.sequoiaspindle.core.protocol.store.StoreResult;
import org.sequoiaspindle.core.protocol.store.StoreValue;

/**
 * Publisher that trusts the first response to the write of the head. The publisher reports a
 * missing response or a conflict as not run.
 */
final class NaivePublisher implements Publisher {
    private final Store store;
    private final StoreReader reader;
    private final ObjectSetFunctions functions;

    NaivePublisher(Store store, StoreReader reader, ObjectSetFunctions functions) {
        this.store = store;
        this.reader = reader;
        this.functions = functions;
    }

    @Override
    public CompletionStage<PublishResult> publish(PublishRequest request) {
        ConfigurationParts parts = ConfigurationParts.split(request.objects(), functions.writer());
        parts.parts()
                .forEach(
                        part ->
                                store.execute(
                                        new StoreCommand.CompareAndSwap(
                                                ConfigurationKeys.part(part.reference().digest()),
                                                StoreCommand.ABSENT,
                                                StoreValue.ofString(part.content()))));
        return StoredHead.read(reader)
                .thenCompose(
                        read -> {
                            if (!read.exists(
                                    stored -> stored.generation() == request.baseGeneration())) {
                                return CompletableFuture.completedStage(
                                        new PublishResult.NotRun("base differs or is unknown"));
                            }
                            StoredHead base = read.get();
                            long generation = request.baseGeneration() + 1;
                            ConfigurationHead head =
                                    new ConfigurationHead(
                                            generation,
                                            request.submissionId(),
                                            request.operator(),
                                            0,
                                            SubmissionHistory.extend(
                                                    base.head(),
                                                    request.submissionId(),
                                                    generation),
                                            parts.references());
                            return store.execute(
                                            new StoreCommand.CompareAndSwap(
                                                    ConfigurationKeys.HEAD,
                                                    base.version(),
                                                    StoreValue.ofString(HeadWriter.write(head))))
                                    .thenApply(result -> toPublishResult(result, generation));
                        });
    }

    private static PublishResult toPublishResult(StoreResult result, long generation) {
        return result instanceof StoreResult.Swapped
                ? new PublishResult.Published(generation)
                : new PublishResult.NotRun(result.toString());
    }
}
