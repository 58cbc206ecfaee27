package org.sequoiaspindle.cli.transport;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/** Consumes publishers and completes futures at their end. */
final class PublisherFutures {

    private PublisherFutures() {}

    /** Hands each item to the consumer, one after the other; an exception ends the stream. */
    static <T> CompletableFuture<Void> forEach(Publisher<T> publisher, Consumer<T> consumer) {
        CompletableFuture<Void> end = new CompletableFuture<>();
        publisher.subscribe(
                new Subscriber<>() {
                    private Subscription subscription;

                    @Override
                    public void onSubscribe(Subscription started) {
                        subscription = started;
                        started.request(1);
                    }

                    @Override
                    public void onNext(T item) {
                        try {
                            consumer.accept(item);
                            subscription.request(1);
                        } catch (RuntimeException e) {
                            subscription.cancel();
                            end.completeExceptionally(e);
                        }
                    }

                    @Override
                    public void onError(Throwable error) {
                        end.completeExceptionally(error);
                    }

                    @Override
                    public void onComplete() {
                        end.complete(null);
                    }
                });
        return end;
    }

    /** The first item; the consumer of the future runs before the publisher goes on. */
    static <T> CompletableFuture<T> first(Publisher<? extends T> publisher) {
        CompletableFuture<T> item = new CompletableFuture<>();
        forEach(publisher, item::complete)
                .whenComplete(
                        (done, error) ->
                                item.completeExceptionally(
                                        error != null
                                                ? error
                                                : new IllegalStateException("no answer")));
        return item;
    }
}
