import type { ClientRequest } from 'node:http'

/** Servers send one or two interim responses (100, 102, 103) before the final one. */
const MAX_INTERIM_RESPONSES = 16

/**
 * Ends an exchange whose server sends interim responses without end. They would be parsed and buffered until the
 * deadline of the request.
 *
 * @param request - the request
 * @param onExceeded - called once with the first interim response over the limit
 * @public
 */
export function limitInterimResponses (request: ClientRequest, onExceeded: () => void): void {
  let count = 0
  request.on('information', () => {
    count += 1
    if (count === MAX_INTERIM_RESPONSES + 1) onExceeded()
  })
}
