import { InputRefuser, type RejectedInput } from '@lavenderturn/runtime'
import type { ServerResponse } from 'node:http'
import type { MeshRuntime } from '../MeshRuntime'

/** Responses to what is not a request, by the error of the HTTP parser. */
const UNREADABLE_STATUSES: ReadonlyMap<string, string> = new Map([
  ['HPE_HEADER_OVERFLOW', '431 Request Header Fields Too Large'],
  ['ERR_HTTP_REQUEST_TIMEOUT', '408 Request Timeout']
])

/** @internal */
export interface CallerInputRefuserOptions {
  readonly runtime: MeshRuntime
  /** Refuses a request as malformed. */
  readonly refuseMalformed: (res: ServerResponse, detail: string) => void
}

/** Refuses what callers send that is no request. @internal */
export class CallerInputRefuser extends InputRefuser {
  constructor (private readonly options: CallerInputRefuserOptions) {
    super()
  }

  override composeRefusal (code: string): string {
    const status = UNREADABLE_STATUSES.get(code) ?? '400 Bad Request'
    return `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`
  }

  override refuseBody (res: ServerResponse): void {
    this.options.refuseMalformed(res, 'the body cannot be read')
  }

  override report ({ code, unanswered }: RejectedInput): void {
    this.options.runtime.dispatch({ slice: 'gateway', type: 'inputRejected', code, unanswered })
  }
}
