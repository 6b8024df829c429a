package org.sycamoretrack.daemon.request;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.sycamoretrack.transport.request.HttpResponse;

/**
 * A call with an idempotency key.
 *
 * @param key the key, prefixed with the service or pool so that it is unique among them
 * @param fingerprint identifies the request among others with the same key
 * @param run runs the call in one attempt; fails with a {@link
 *     org.sycamoretrack.core.process.SycamoreException} that says whether it may have run
 */
record KeyedCall(String key, String fingerprint, Supplier<CompletableFuture<HttpResponse>> run) {}
