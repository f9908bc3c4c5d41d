import { describe, expect, it } from 'vitest'
import { decideRejection, type RejectedInput, type Rejection } from './decideRejection'

const makeInput = (input: Partial<RejectedInput> = {}): RejectedInput => ({
  code: 'HPE_INVALID_METHOD', unanswered: 0, isFinishing: false, ...input
})

describe('bytes that are no request', () => {
  const cases: ReadonlyArray<readonly [string, Partial<RejectedInput>, Rejection]> = [
    ['as the first ones of a connection', {}, 'refuse'],
    ['behind requests without a response', { unanswered: 3 }, 'refuse'],
    ['in a body', { unanswered: 1, body: { isAnswered: false } }, 'refuseBody'],
    ['in a body behind a request without a response', { unanswered: 2, body: { isAnswered: false } }, 'refuseBody'],
    ['in a body whose request has been answered', { unanswered: 1, body: { isAnswered: true } }, 'finish'],
    ['behind a request that was announced as the last one', { code: 'HPE_CLOSED_CONNECTION', unanswered: 1 }, 'finish'],
    ['that break off at the start of a connection', { code: 'HPE_INVALID_EOF_STATE' }, 'refuse'],
    ['that break off behind a request without a response', { code: 'HPE_INVALID_EOF_STATE', unanswered: 1 }, 'close'],
    ['that break off in the only body', { code: 'HPE_INVALID_EOF_STATE', unanswered: 1, body: { isAnswered: false } }, 'refuseBody'],
    ['on a connection that ends', { unanswered: 1, isFinishing: true }, 'discard'],
    ['in a body on a connection that ends', { unanswered: 1, body: { isAnswered: false }, isFinishing: true }, 'refuseBody'],
    ['in a refused body', { unanswered: 1, body: { isAnswered: true }, isFinishing: true }, 'discard'],
    ['that take too long', { code: 'ERR_HTTP_REQUEST_TIMEOUT', unanswered: 1 }, 'refuse']
  ]

  // Guards against a refusal that is taken for the response to another request.
  it.each(cases)('%s', (_, input, rejection) => {
    expect(decideRejection(makeInput(input))).toBe(rejection)
  })
})
