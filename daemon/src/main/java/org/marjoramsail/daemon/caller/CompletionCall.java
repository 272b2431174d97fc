package org.marjoramsail.daemon.caller;

/**
 * What a caller asks of a model service.
 *
 * @param service the service, which callers name as the model
 * @param prompt the prompt
 * @param maximumTokens how many tokens at most
 * @param streamed whether the answer comes token by token
 */
record CompletionCall(String service, String prompt, int maximumTokens, boolean streamed) {}
