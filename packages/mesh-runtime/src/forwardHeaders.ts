/** Headers that nodes add to forwarded requests and their answers. */
export const forwardHeaders = {
  reservation: 'lavenderturn-reservation',
  route: 'lavenderturn-route',
  team: 'lavenderturn-team',
  callerService: 'lavenderturn-caller-service',
  callerRequest: 'lavenderturn-caller-request',
  fingerprint: 'lavenderturn-fingerprint',
  /** Milliseconds left. */
  timeout: 'lavenderturn-timeout',
  /** What became of the request; see `encodeResult`. */
  result: 'lavenderturn-result'
} as const
