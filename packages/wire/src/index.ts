export * from './gen/lavenderturn/v1/health_pb'
export * from './gen/lavenderturn/v1/membership_pb'
