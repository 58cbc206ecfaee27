package org.sequoiaspindle.core.state;

/**
 * A customer whose callers may send requests.
 *
 * @param name unique name
 * @param secretHash salted hash of the organisation's secret, see {@link SecretHash}
 * @param weight weight of the organisation's fair share when calls have to wait, 1 to 1000
 * @param maxConcurrent maximum concurrent requests per data centre, 1 to 100000
 */
public record Organisation(String name, String secretHash, int weight, int maxConcurrent)
        implements NamedObject {}
