package org.sequoiaspindle.cli.transport;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/** Adapts reactive publishers to futures. */
final class PublisherFutures {

    private PublisherFutures() {}

    /**
     * Passes the items to the consumer one at a time. The future completes after the last item. An
     * exception of the consumer cancels the subscription and fails the future.
     */
    static <T> CompletableFuture<Void> forEach(Publisher<T> publisher, Consumer<T> consumer) {
        CompletableFuture<Void> completion = new CompletableFuture<>();
        publisher.subscribe(
                new Subscriber<>() {
                    private Subscription subscription;

                    @Override
                    public void onSubscribe(Subscription newSubscription) {
                        subscription = newSubscription;
                        newSubscription.request(1);
                    }

                    @Override
                    public void onNext(T item) {
                        try {
                            consumer.accept(item);
                            subscription.request(1);
                        } catch (RuntimeException e) {
                            subscription.cancel();
                            completion.completeExceptionally(e);
                        }
                    }

                    @Override
                    public void onError(Throwable error) {
                        completion.completeExceptionally(error);
                    }

                    @Override
                    public void onComplete() {
                        completion.complete(null);
                    }
                });
        return completion;
    }

    /**
     * Returns a future of the first item. Dependent actions of the future run before the next item
     * is requested from the publisher.
     */
    static <T> CompletableFuture<T> firstItem(Publisher<? extends T> publisher) {
        CompletableFuture<T> item = new CompletableFuture<>();
        forEach(publisher, item::complete)
                .whenComplete(
                        (unused, error) ->
                                item.completeExceptionally(
                                        error != null
                                                ? error
                                                : new IllegalStateException(
                                                        "publisher completed without an item")));
        return item;
    }
}
